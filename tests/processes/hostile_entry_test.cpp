#include "cardamompond/gateway/peer_report.hpp"
#include "cardamompond/net/http_client.hpp"
#include "cardamompond/platform/standins/backend_engine.hpp"
#include "cardamompond/platform/standins/metadata_store.hpp"
#include "cardamompond/testing/child_process.hpp"
#include "cardamompond/testing/environment.hpp"
#include "cardamompond/testing/hostile_crowd.hpp"
#include "cardamompond/testing/tcp_relay.hpp"

#include "exchange.capnp.h"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <memory>
#include <string>

using namespace cardamompond;
using namespace cardamompond::testing;

namespace {

namespace json = boost::json;

constexpr std::size_t body_limit = 1U << 20U;
constexpr std::size_t header_limit = 32U << 10U;
constexpr std::size_t crowd_size = 100;            // its bodies together exceed the machine's memory
constexpr std::size_t connection_crowd_size = 600; // exceeds the machine's descriptors
constexpr std::size_t memory_mb = 64;
constexpr std::size_t max_descriptors = 400;
constexpr std::size_t bytes_per_mb = 1'000'000;

constexpr std::string_view request_head =
    "POST /order/x HTTP/1.1\r\nHost: h\r\nApi-Key: k\r\nX-Cardamompond-Request-Id: hostile\r\n";

} // namespace

// Clients that send requests without completing them, to an entry daemon on a machine with 64 MB of memory
// and 400 descriptors. The daemon has to live on within that memory and these descriptors, and has to answer
// another request while the clients stay connected. Without bounds the daemon had peaks of
// 117 MB (bodies with a length), 120 MB (complete bodies), 166 to 169 MB (chunked bodies), 222 MB (other
// addresses), 85 MB (long responses), 442 MB and 133 MB (datagrams), and 620 descriptors.
TEST_GROUP(hostile_entry) {
  void setup() override {
    m_relay = std::make_unique<tcp_relay>(m_engine.address());
    const json::object route = {{"name", "order"},
                                {"host", "h"},
                                {"path_prefix", "/order/"},
                                {"type", "non_idempotent"},
                                {"timeout_ms", 60'000},
                                {"target_latency_ms", 30'000},
                                {"priority", 0},
                                {"service", "chat"},
                                {"max_attempts", 2},
                                {"allow_anonymous", false},
                                {"resumable", false},
                                {"gap_aim_ms", 400}};
    m_store.put("config", "main",
                {{"version", 1},
                 {"routes", json::array{route}},
                 {"services", json::array{{{"name", "chat"}, {"health_path", "/healthz"}}}},
                 {"tenants", json::array{{{"name", "workshop"}, {"api_keys", json::array{"k"}}}}},
                 {"limits",
                  {{"max_body_bytes", body_limit},
                   {"max_header_bytes", header_limit},
                   {"header_timeout_ms", 60'000},
                   {"idle_timeout_ms", 60'000}}}});
    m_store.put("servers", "i-0",
                {{"service", "chat"},
                 {"address", m_relay->address()},
                 {"zone", "z0"},
                 {"version", "v1"},
                 {"slots", 16},
                 {"state", "ready"},
                 {"born", m_engine.started()},
                 {"cold_remaining_ms", 0}});
    const std::string settings = m_folder.write(
        "d.toml", "scheduling = \"local\"\nname = \"d\"\navailability_zone = \"z0\"\n[listen]\ncallers = \"" +
                      m_callers + "\"\nadmin = \"" + m_admin + "\"\nmetrics = \"" + m_metrics +
                      "\"\nexchange = \"" + m_exchange + "\"\n[store]\naddress = \"" + m_store.address() +
                      "\"\n[limits]\nmemory_mb = " + std::to_string(memory_mb) +
                      "\nmax_descriptors = " + std::to_string(max_descriptors) + "\n");
    m_process = std::make_unique<child_process>(program_path("cardamompondd"),
                                                std::vector<std::string>{"--settings", settings},
                                                m_folder.path() + "/d.log");
    wait_until("the daemon is ready", milliseconds(20'000), [&] {
      const auto response = m_client.fetch(m_admin, {"GET", "/readyz", {}, {}}, milliseconds(500));
      return response && response->m_status == 200;
    });
    check_request("small", 100);
    check_request("of the greatest size", body_limit);
  }

  // Sends an ordinary request on a new connection.
  int send_request(std::size_t body_bytes) {
    net::http_client client(test_runtime());
    const auto response = client.fetch(m_callers,
                                       {"POST",
                                        "/order/x",
                                        {{"Host", "h"},
                                         {"X-Cardamompond-Request-Id", std::to_string(++m_request_count)},
                                         {"X-Cardamompond-Deadline-Ms", "30000"},
                                         {"Api-Key", "k"}},
                                        std::string(body_bytes, 'b')},
                                       milliseconds(40'000));
    return response ? response->m_status : 0;
  }

  void check_request(std::string_view which, std::size_t body_bytes) {
    const int status = send_request(body_bytes);
    CHECK_TEXT(status == 200, (std::string(which) + ": status " + std::to_string(status)).c_str());
  }

  void check_process() {
    CHECK_TEXT(!m_process->exit_code(), m_process->read_output().c_str());
    const auto usage = read_process_usage(m_process->pid());
    std::printf("peak %zu MB, %zu descriptors\n", usage.m_peak_bytes / bytes_per_mb, usage.m_descriptors);
    CHECK_TEXT(usage.m_peak_bytes <= memory_mb * bytes_per_mb,
               ("peak " + std::to_string(usage.m_peak_bytes) + " bytes").c_str());
    CHECK_TEXT(usage.m_descriptors <= max_descriptors,
               (std::to_string(usage.m_descriptors) + " descriptors").c_str());
  }

  // Lets the crowd send the bytes, and checks the daemon while the crowd stays connected.
  void check_crowd(std::size_t count, const std::string& bytes, std::size_t piece_bytes) {
    hostile_crowd crowd(m_callers, count);
    crowd.send(bytes, piece_bytes);
    check_process();
    check_request("beside the crowd", 100);
    check_process();
  }

  temporary_folder m_folder;
  platform::standins::metadata_store m_store{test_runtime()};
  platform::standins::run_counter m_run_counter;
  platform::standins::backend_engine m_engine{test_runtime(), "i-0", m_run_counter, 1};
  std::unique_ptr<tcp_relay> m_relay;
  net::http_client m_client{test_runtime()};
  std::string m_callers = find_free_address();
  std::string m_admin = find_free_address();
  std::string m_metrics = find_free_address();
  std::string m_exchange = find_free_address();
  std::unique_ptr<child_process> m_process;
  int m_request_count = 0;
};

// Guards against bodies of legal size that are sent at once up to their last byte and held in memory.
TEST(hostile_entry, large_bodies_that_stop_short_of_their_end) {
  check_crowd(crowd_size, make_incomplete_request(request_head, body_limit), body_limit);
}

// Guards against the same with bodies that all grow slowly together, so that none stands out by its size.
TEST(hostile_entry, large_bodies_sent_piece_by_piece) {
  check_crowd(crowd_size, make_incomplete_request(request_head, body_limit), 8'192);
}

// Guards against chunked bodies, which have no announced length and whose buffers grew by doubling.
TEST(hostile_entry, large_chunks) {
  check_crowd(crowd_size, make_incomplete_chunked_request(request_head, body_limit, 65'536), 65'536);
}

// Guards against chunked bodies with much framing for each byte.
TEST(hostile_entry, very_small_chunks) {
  check_crowd(crowd_size, make_incomplete_chunked_request(request_head, body_limit, 16), 65'536);
}

// Guards against bodies over the limit that are read although their length is announced.
TEST(hostile_entry, announced_bodies_far_over_the_limit) {
  check_crowd(crowd_size, make_incomplete_request(request_head, 4 * body_limit), 65'536);
}

// Guards against bodies over the limit that are held until the client has finished sending.
TEST(hostile_entry, unannounced_bodies_far_over_the_limit) {
  check_crowd(crowd_size, make_incomplete_chunked_request(request_head, 4 * body_limit, 65'536), 65'536);
}

// Guards against connections without number, each with a header that is nearly complete.
TEST(hostile_entry, many_connections_with_incomplete_headers) {
  check_crowd(connection_crowd_size,
              std::string(request_head) + "X-Filler: " + std::string(header_limit - 2'048, 'x'), 65'536);
}

// Guards against connections without number on which nothing is sent.
TEST(hostile_entry, many_connections_without_a_request) {
  check_crowd(connection_crowd_size, "", 1);
}

// Guards against complete bodies that stay in memory while their requests wait for a backend server. The
// request that has to be answered follows when the clients have left.
TEST(hostile_entry, complete_bodies_that_wait_for_a_server) {
  m_relay->set_partitioned(true);
  {
    hostile_crowd crowd(m_callers, crowd_size);
    crowd.send(std::string(request_head) + "X-Cardamompond-Deadline-Ms: 50000\r\nContent-Length: " +
                   std::to_string(body_limit) + "\r\n\r\n" + std::string(body_limit, 'x'),
               65'536);
    check_process();
  }
  m_relay->set_partitioned(false);
  wait_until("an ordinary request is answered", milliseconds(60'000),
             [&] { return send_request(100) == 200; });
  check_process();
}

// Guards against long responses that stay in memory because their clients do not read them.
TEST(hostile_entry, long_responses_that_are_not_read) {
  m_engine.set_padding(3 * body_limit);
  {
    constexpr bool reads = false;
    hostile_crowd crowd(m_callers, crowd_size, reads);
    crowd.send(std::string(request_head) + "Content-Length: 1\r\n\r\nx", 65'536);
    check_process();
    m_engine.set_padding(0);
    check_request("beside the crowd", 100);
  }
  check_process();
}

// Guards against large bodies sent to the addresses that callers do not use.
TEST(hostile_entry, large_bodies_on_the_other_addresses) {
  for (const auto& address : {m_admin, m_metrics, m_exchange}) {
    hostile_crowd crowd(address, crowd_size / 2);
    crowd.send(make_incomplete_request("POST /x HTTP/1.1\r\nHost: h\r\n", 4 * body_limit), 65'536);
    check_process();
    check_request("beside the crowd", 100);
  }
}

// Guards against datagrams that take far more memory read than sent, from senders with invented names.
TEST(hostile_entry, datagrams_that_unpack_to_large_reports) {
  constexpr unsigned sender_count = 20;
  constexpr unsigned load_count = 250'000; // without a value, so that they pack to almost nothing
  constexpr std::size_t max_datagram_bytes = 16U << 10U;
  hostile_crowd::datagram_sender sender(m_exchange);
  for (unsigned i = 0; i < sender_count; ++i) {
    capnp::MallocMessageBuilder message;
    auto report = message.initRoot<gateway::wire::Report>();
    report.setDaemon("invented-" + std::to_string(i));
    report.setAvailabilityZone("z0");
    report.setIncarnation(1);
    report.setSequence(1);
    report.initLoads(load_count);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    CHECK(bytes.size() <= max_datagram_bytes);
    sender.send({reinterpret_cast<const char*>(bytes.begin()), bytes.size()});
    boost::this_fiber::sleep_for(milliseconds(20));
  }
  check_process();
  check_request("beside the senders", 100);
}

// Guards against state without bound for senders with invented names.
TEST(hostile_entry, datagrams_of_many_invented_senders) {
  constexpr unsigned sender_count = 4'000;
  constexpr unsigned load_count = 300;
  hostile_crowd::datagram_sender sender(m_exchange);
  gateway::peer_report report;
  report.m_availability_zone = "z0";
  report.m_exchange_address = "127.0.0.1:9";
  report.m_incarnation = 1;
  report.m_sequence = 1;
  for (unsigned i = 0; i < load_count; ++i) {
    auto& load = report.m_loads.emplace_back();
    load.m_server = i + 1;
    load.m_running = 1;
  }
  for (unsigned i = 0; i < sender_count; ++i) {
    report.m_daemon = "invented-" + std::to_string(i);
    sender.send(gateway::encode_report(report));
    if (i % 20 == 0) {
      boost::this_fiber::sleep_for(milliseconds(1));
    }
  }
  check_process();
  check_request("beside the senders", 100);
}
