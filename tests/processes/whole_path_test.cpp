#include "cardamompond/testing/test_cell.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace cardamompond;
using namespace cardamompond::testing;

namespace {

// A TCP connection on which the test sends and receives bytes without an HTTP client.
class raw_connection {
public:
  explicit raw_connection(const std::string& address, int receive_buffer_bytes = 0)
      : m_socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    if (receive_buffer_bytes > 0) {
      ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    }
    const timeval receive_timeout{.tv_sec = 10, .tv_usec = 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
    sockaddr_in daemon_address{};
    daemon_address.sin_family = AF_INET;
    daemon_address.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    daemon_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK_EQUAL(
        0, ::connect(m_socket, reinterpret_cast<const sockaddr*>(&daemon_address), sizeof daemon_address));
  }
  ~raw_connection() { ::close(m_socket); }
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;

  void send(const std::string& text) const {
    LONGS_EQUAL(text.size(), ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL));
  }

  // Reads until the received text ends with `suffix`, the connection is closed or no byte arrives for 10 s.
  std::string read_until(std::string_view suffix) const {
    std::string text;
    std::array<char, 65536> buffer{};
    while (!text.ends_with(suffix)) {
      const auto count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        break;
      }
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

private:
  int m_socket;
};

std::string chat_body(std::int64_t tokens, bool stream = true) {
  return boost::json::serialize(boost::json::object{{"model", "chat"},
                                                    {"stream", stream},
                                                    {"max_tokens", tokens},
                                                    {"messages", {{{"role", "user"}, {"content", "x"}}}}});
}

std::string raw_chat_request(std::int64_t tokens) {
  const std::string body = chat_body(tokens);
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-interactive\r\n"
         "Cardamompond-Timeout-Ms: 600000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::int64_t resident_kib(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stoll(line.substr(6));
    }
  }
  return -1;
}

} // namespace

// One daemon in front of one engine (backend server 0) and one order service (backend server 1).
TEST_GROUP(whole_path) {
  test_cell m_cell;
  caller& m_caller = m_cell.m_caller;

  void start(const backend_options& engine = {}) {
    m_cell.add_backend("e1", engine);
    m_cell.add_backend("s1", {.m_service = "orders", .m_settings = {"latency_ms=300"}});
    m_cell.start(1);
  }
  const std::string& address() {
    return m_cell.m_daemons[0].m_callers_address;
  }
  boost::json::array history(std::size_t backend) {
    return m_cell.m_backends[backend].m_process->fetch_history();
  }
};

// Guards against responses and request ids that are changed, truncated or assigned to the wrong request.
TEST(whole_path, forwards_complete_responses) {
  start({.m_settings = {"prefill_us_per_token=0", "tokens_per_s=500"}});
  const auto& streamed = m_caller.send_chat(address(), "streamed");
  CHECK(streamed.m_complete);
  CHECK(m_caller.send_chat(address(), "whole", {.m_stream = false}).m_complete);
  STRCMP_EQUAL("", streamed.m_verdict.c_str());
  CHECK_EQUAL(1, count_entries(history(0), "request_id", streamed.m_request_id));

  const auto& stock = m_caller.send(address(), {"GET", "/services/orders/stock/7", {}, {}}, {});
  LONGS_EQUAL(200, stock.m_status);
  STRCMP_EQUAL("/stock/7", std::string(boost::json::parse(stock.m_body).at("path").as_string()).c_str());
  CHECK_EQUAL(1, count_entries(history(1), "request_id", stock.m_request_id));
  STRCMP_EQUAL("", find_duplicate_dispatches(m_cell.fetch_backend_histories()).c_str());
}

// Guards against invalid calls that reach a backend server, and against refusals without an error code or a
// verdict.
TEST(whole_path, refuses_invalid_calls_with_code_and_verdict) {
  start();
  const std::string chat_path = "/v1/chat/completions";
  struct invalid_call {
    net::http_request m_request;
    std::string m_account;
    int m_status;
    std::string m_code;
  };
  const std::vector<invalid_call> calls = {
      {{"POST", chat_path, {}, chat_body(1)}, "nobody", 401, "unauthorized"},
      {{"GET", "/services/orders/stock", {}, {}}, "nobody", 401, "unauthorized"},
      {{"POST", chat_path, {}, R"({"model":"none","messages":[{"role":"user","content":"x"}]})"},
       "batch",
       404,
       "not_found"},
      {{"GET", "/services/none/stock", {}, {}}, "batch", 404, "not_found"},
      {{"GET", "/services/orders/other", {}, {}}, "batch", 404, "not_found"},
      {{"POST", chat_path, {}, "{"}, "batch", 400, "bad_request"},
      {{"POST", "/services/orders/orders", {}, "{}"}, "batch", 400, "idempotency_required"},
      {{"POST", chat_path, {{"X-Filler", std::string(40'000, 'f')}}, chat_body(1)},
       "batch",
       431,
       "header_too_large"},
  };
  for (const auto& [request, account, status, code] : calls) {
    const auto& record = m_caller.send(address(), request, {.m_account = account});
    LONGS_EQUAL_TEXT(status, record.m_status, (code + " " + record.m_connection_error).c_str());
    STRCMP_EQUAL(code.c_str(), record.m_code.c_str());
    STRCMP_EQUAL("not-run", record.m_verdict.c_str());
    CHECK_FALSE(record.m_request_id.empty());
    CHECK_FALSE(boost::json::parse(record.m_body).at("error").at("message").as_string().empty());
  }
  const raw_connection connection(address());
  connection.send("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-batch\r\n"
                  "Content-Length: 17000000\r\n\r\n");
  const std::string response = connection.read_until("}}");
  STRCMP_CONTAINS("HTTP/1.1 413", response.c_str());
  STRCMP_CONTAINS("\"too_large\"", response.c_str());
  STRCMP_NOCASE_CONTAINS("Cardamompond-Verdict: not-run", response.c_str());
  CHECK(history(0).empty() && history(1).empty());
}

// Guards against an order that is executed again when it is repeated under the same idempotency key, and
// against a stored response that is returned for another body.
TEST(whole_path, executes_a_repeated_order_once) {
  start();
  background_task background_order([&] { m_caller.send_order(address(), "k1", "{\"n\":1}"); });
  wait_until("first order running", milliseconds(3000), [&] { return !history(1).empty(); });
  const call_record concurrent_call = m_caller.send_order(address(), "k1", "{\"n\":1}");
  LONGS_EQUAL(409, concurrent_call.m_status);
  STRCMP_EQUAL("in_progress", concurrent_call.m_code.c_str());
  STRCMP_EQUAL("may-have-run", concurrent_call.m_verdict.c_str());
  background_order.join();
  const call_record& first_call = m_caller.records()[0];
  CHECK(first_call.m_complete);
  const call_record& repeated_call = m_caller.send_order(address(), "k1", "{\"n\":1}");
  LONGS_EQUAL(200, repeated_call.m_status);
  STRCMP_EQUAL(first_call.m_body.c_str(), repeated_call.m_body.c_str());
  const call_record& call_with_other_body = m_caller.send_order(address(), "k1", "{\"n\":2}");
  LONGS_EQUAL(422, call_with_other_body.m_status);
  STRCMP_EQUAL("key_reused", call_with_other_body.m_code.c_str());
  STRCMP_EQUAL("not-run", call_with_other_body.m_verdict.c_str());
  LONGS_EQUAL(1, history(1).size());
}

// Guards against a backend server that continues to work on a request whose caller has closed its connection.
TEST(whole_path, a_cancelled_call_frees_the_engine) {
  start({.m_slots = 1});
  net::http_client client(test_runtime());
  auto call = client.open(address());
  CHECK(call.has_value());
  CHECK((*call)
            ->send({"POST",
                    "/v1/chat/completions",
                    {{"Authorization", "Bearer key-interactive"}, {"Cardamompond-Timeout-Ms", "600000"}},
                    chat_body(5000)},
                   milliseconds(5000))
            .has_value());
  CHECK((*call)->read_head(milliseconds(5000)).has_value());
  (*call)->abort();
  CHECK(m_caller.send_chat(address(), "next", {.m_timeout_ms = 3000}).m_complete);
  CHECK_EQUAL(1, count_entries(history(0), "outcome", "cancelled"));
  STRCMP_EQUAL("", find_limit_violations(m_cell.fetch_backend_histories()).c_str());
}

// Guards against unbounded buffering of responses in the daemon while their callers do not read.
TEST(whole_path, slow_callers_take_bounded_memory) {
  constexpr int callers = 8;
  constexpr std::int64_t tokens = 8000; // about 1 MB of events
  start({.m_slots = callers, .m_settings = {"tokens_per_s=4000", "slowdown=0"}});
  CHECK(m_caller.send_chat(address(), "first").m_complete);
  const auto resident_before_kib = resident_kib(m_cell.m_daemons[0].m_process->pid());
  std::deque<raw_connection> connections;
  for (int i = 0; i < callers; ++i) {
    connections.emplace_back(address(), 4096).send(raw_chat_request(tokens));
  }
  wait_until("all responses generated", milliseconds(12'000),
             [&] { return count_entries(history(0), "outcome", "completed") == callers + 1; });
  const auto growth_kib = resident_kib(m_cell.m_daemons[0].m_process->pid()) - resident_before_kib;
  CHECK_TEXT(growth_kib < callers * 64 + 1024,
             ("resident memory grew by " + std::to_string(growth_kib) + " KiB").c_str());
  const std::string response = connections[0].read_until("0\r\n\r\n");
  STRCMP_CONTAINS("data: [DONE]", response.c_str());
  STRCMP_CONTAINS(":7999 ", response.c_str());
}

// Guards against a shutdown that aborts responses in progress or drops waiting requests.
TEST(whole_path, sigterm_drains) {
  start({.m_slots = 2, .m_settings = {"slowdown=0"}});
  std::deque<background_task> calls;
  for (int i = 0; i < 4; ++i) { // each takes 0.8 s; two of them wait for a slot
    calls.emplace_back([&, i] { m_caller.send_chat(address(), std::to_string(i), {.m_tokens = 40}); });
  }
  wait_until("two requests running", milliseconds(3000), [&] { return history(0).size() == 2; });
  daemon_process& daemon = m_cell.m_daemons[0];
  daemon.m_process->signal(SIGTERM);
  wait_until("daemon not ready", milliseconds(300), [&] { return !m_cell.is_ready(daemon); });
  CHECK_FALSE(daemon.m_process->exit_code().has_value());
  for (auto& call : calls) {
    call.join();
  }
  LONGS_EQUAL(0, daemon.m_process->wait_for_exit(milliseconds(5000)));
  LONGS_EQUAL(4, m_caller.records().size());
  for (const auto& record : m_caller.records()) {
    CHECK_TEXT(record.m_complete, (record.m_code + " " + record.m_connection_error).c_str());
  }
}

// Guards against a daemon that starts with settings other than the intended ones. Missing, misspelt or
// invalid settings must end it with exit code 2 and a single line.
TEST(whole_path, invalid_settings_end_the_daemon_with_one_line) {
  const std::string valid_settings =
      "name = \"d\"\nowner = \"north\"\ncell = \"main\"\navailability_zone = \"z1\"\n"
      "region = \"r1\"\n[listen]\ncallers = \"" +
      find_free_address() + "\"\nadmin = \"" + find_free_address() + "\"\npeer = \"" + find_free_address() +
      "\"\n[platform]\naddress = \"" + m_cell.object_api().address() +
      "\"\n[peer]\nsecret = \"secret-of-the-test-cell-0123456789\"\n";
  const auto run_with_settings = [&](const std::string& text) {
    const std::string path = m_cell.folder().write("bad.toml", text);
    const auto finished = run_program(program_path("cardamompondd"), {"--settings", path}, path + ".log");
    LONGS_EQUAL(2, finished.m_exit_code);
    LONGS_EQUAL(1, std::count(finished.m_output.begin(), finished.m_output.end(), '\n'));
    STRCMP_CONTAINS("bad.toml:", finished.m_output.c_str());
    return finished.m_output;
  };
  const auto replace_in_settings = [&](const std::string& from, const std::string& to) {
    return std::string(valid_settings).replace(valid_settings.find(from), from.size(), to);
  };
  STRCMP_CONTAINS("cell", run_with_settings(replace_in_settings("cell = \"main\"\n", "")).c_str());
  STRCMP_CONTAINS(":3: cell", run_with_settings(replace_in_settings("\"main\"", "7")).c_str());
  STRCMP_CONTAINS(":1: nmae", run_with_settings(replace_in_settings("name", "nmae")).c_str());
  STRCMP_CONTAINS(
      "secret",
      run_with_settings(replace_in_settings("secret-of-the-test-cell-0123456789", "short")).c_str());
  run_with_settings(replace_in_settings("[peer]", "[peer"));
  LONGS_EQUAL(2, run_program(program_path("cardamompondd"), {"--settings", "/nowhere/d.toml"},
                             m_cell.folder().path() + "/missing.log")
                     .m_exit_code);
}
