#include "cardamompond/net/http_client.hpp"
#include "cardamompond/testing/hostile_crowd.hpp"
#include "cardamompond/testing/test_cell.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cardamompond;
using namespace cardamompond::testing;

namespace {

constexpr std::size_t body_limit = 1U << 20U;
constexpr std::size_t header_limit = 32U << 10U;
constexpr std::size_t crowd_size = 100;            // its bodies together exceed the machine's memory
constexpr std::size_t connection_crowd_size = 600; // exceeds the machine's descriptors
constexpr std::size_t memory_mb = 64;
constexpr std::size_t max_descriptors = 400;
constexpr std::size_t bytes_per_mb = 1'000'000;

constexpr std::string_view request_head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Type: "
                                          "application/json\r\nAuthorization: Bearer "
                                          "key-batch\r\n";

// Clients that send requests without completing them, to a daemon of a cell on a machine with 64 MB of memory
// and 400 descriptors. The daemon has to live on within that memory and these descriptors, and has to answer
// another request while the clients stay connected. Without bounds the daemon had peaks of 120 MB (bodies
// with a length), 163 to 173 MB (chunked bodies), 132 MB (complete bodies), 226 MB (admin address) and 137 MB
// (parsed JSON), and 619 descriptors.
class hostile_cell_base : public Utest {
protected:
  void start(std::size_t max_body_bytes) {
    m_cell.m_limits = "memory_mb = " + std::to_string(memory_mb) +
                      "\nmax_descriptors = " + std::to_string(max_descriptors) +
                      "\nmax_body_bytes = " + std::to_string(max_body_bytes) +
                      "\nmax_header_bytes = " + std::to_string(header_limit) + "\n";
    m_cell.add_backend("e1", {.m_settings = {"prefill_us_per_token=0", "tokens_per_s=500"}});
    m_cell.start(1);
    check_request("small", 100);
    constexpr std::size_t json_bytes = 1'024;
    check_request("of the greatest size", max_body_bytes - json_bytes);
  }

  // Sends an ordinary request on a new connection.
  call_record send_request(std::size_t text_bytes) {
    caller ordinary;
    return ordinary.send_chat(address(), std::string(text_bytes, 'b'),
                              {.m_stream = false, .m_timeout_ms = 600'000});
  }

  void check_request(const std::string& which, std::size_t text_bytes) {
    const auto record = send_request(text_bytes);
    CHECK_TEXT(record.m_complete, (which + ": " + std::to_string(record.m_status) + " " +
                                   record.m_connection_error + record.m_body.substr(0, 300))
                                      .c_str());
  }

  void check_process() {
    auto& process = *m_cell.m_daemons[0].m_process;
    CHECK_TEXT(!process.exit_code(), process.read_output().c_str());
    const auto usage = read_process_usage(process.pid());
    std::printf("peak %zu MB, %zu descriptors\n", usage.m_peak_bytes / bytes_per_mb, usage.m_descriptors);
    CHECK_TEXT(usage.m_peak_bytes <= memory_mb * bytes_per_mb,
               ("peak " + std::to_string(usage.m_peak_bytes) + " bytes").c_str());
    CHECK_TEXT(usage.m_descriptors <= max_descriptors,
               (std::to_string(usage.m_descriptors) + " descriptors").c_str());
  }

  // Lets the crowd send the bytes, and checks the daemon while the crowd stays connected.
  void check_crowd(std::size_t count, const std::string& bytes, std::size_t piece_bytes) {
    hostile_crowd crowd(address(), count);
    crowd.send(bytes, piece_bytes);
    check_process();
    check_request("beside the crowd", 100);
    check_process();
  }

  const std::string& address() { return m_cell.m_daemons[0].m_callers_address; }

  test_cell m_cell;
};

} // namespace

TEST_GROUP_BASE(hostile_cell, hostile_cell_base){void setup() override{start(body_limit);
}
}
;

TEST_GROUP_BASE(hostile_cell_json, hostile_cell_base){void setup() override{start(4 * body_limit);
}
}
;

// Guards against bodies of legal size that are sent at once up to their last byte and held in memory.
TEST(hostile_cell, large_bodies_that_stop_short_of_their_end) {
  check_crowd(crowd_size, make_incomplete_request(request_head, body_limit), body_limit);
}

// Guards against the same with bodies that all grow slowly together, so that none stands out by its size.
TEST(hostile_cell, large_bodies_sent_piece_by_piece) {
  check_crowd(crowd_size, make_incomplete_request(request_head, body_limit), 8'192);
}

// Guards against chunked bodies, which have no announced length and whose buffers grew by doubling.
TEST(hostile_cell, large_chunks) {
  check_crowd(crowd_size, make_incomplete_chunked_request(request_head, body_limit, 65'536), 65'536);
}

// Guards against chunked bodies with much framing for each byte.
TEST(hostile_cell, very_small_chunks) {
  check_crowd(crowd_size, make_incomplete_chunked_request(request_head, body_limit, 16), 65'536);
}

// Guards against bodies over the limit that are read although their length is announced.
TEST(hostile_cell, announced_bodies_far_over_the_limit) {
  check_crowd(crowd_size, make_incomplete_request(request_head, 4 * body_limit), 65'536);
}

// Guards against bodies over the limit that are held until the client has finished sending.
TEST(hostile_cell, unannounced_bodies_far_over_the_limit) {
  check_crowd(crowd_size, make_incomplete_chunked_request(request_head, 4 * body_limit, 65'536), 65'536);
}

// Guards against connections without number, each with a header that is nearly complete.
TEST(hostile_cell, many_connections_with_incomplete_headers) {
  check_crowd(connection_crowd_size,
              std::string(request_head) + "X-Filler: " + std::string(header_limit - 2'048, 'x'), 65'536);
}

// Guards against connections without number on which nothing is sent.
TEST(hostile_cell, many_connections_without_a_request) {
  check_crowd(connection_crowd_size, "", 1);
}

// Guards against complete bodies that stay in memory while their requests wait for a backend server. The
// request that has to be answered follows when the clients have left.
TEST(hostile_cell, complete_bodies_that_wait_for_a_server) {
  m_cell.m_backends[0].m_process->set_parameters({{"tokens_per_s", 1}});
  {
    hostile_crowd crowd(address(), crowd_size);
    constexpr std::string_view begin =
        R"({"model":"chat","stream":false,"max_tokens":1000,"messages":[{"role":"user","content":")";
    const std::string end = "\"}]}";
    const std::string body =
        std::string(begin) + std::string(body_limit - begin.size() - end.size(), 'x') + end;
    crowd.send(std::string(request_head) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                   body,
               65'536);
    check_process();
  }
  m_cell.m_backends[0].m_process->set_parameters({{"tokens_per_s", 500}});
  wait_until("an ordinary request is answered", milliseconds(60'000),
             [&] { return send_request(100).m_complete; });
  check_process();
}

// Guards against large bodies sent to the admin address.
TEST(hostile_cell, large_bodies_on_the_admin_address) {
  hostile_crowd crowd(m_cell.m_daemons[0].m_admin_address, crowd_size / 2);
  crowd.send(make_incomplete_request("POST /x HTTP/1.1\r\nHost: h\r\n", 4 * body_limit), 65'536);
  check_process();
  check_request("beside the crowd", 100);
}

// Guards against a document of many small values, which takes far more memory parsed than sent.
TEST(hostile_cell_json, many_values) {
  std::string body = "{\"model\":\"chat\",\"messages\":[0";
  while (body.size() < 4 * body_limit - 16) {
    body += ",0";
  }
  body += "]}";
  check_crowd(
      4, std::string(request_head) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
      65'536);
}
