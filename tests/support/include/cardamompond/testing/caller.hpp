#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/net/http_client.hpp"

#include <boost/fiber/fiber.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::testing {

// What a caller knows about one call.
struct call_record {
  std::string m_account{};
  std::string m_idempotency_key{}; // Idempotency-Key
  std::string m_request_id{};
  std::string m_address{};    // of the daemon
  std::int64_t m_sent_ms = 0; // Unix time, as in the histories of stand-ins
  std::int64_t m_received_ms = 0;
  int m_status = 0;        // 0: no answer
  std::string m_verdict{}; // of an answer made by the daemon; empty for a forwarded one
  std::string m_code{};
  std::string m_connection_error{}; // of a broken connection
  bool m_request_sent = false;      // a byte was sent
  bool m_complete = false;          // the whole answer to this very request arrived
  std::string m_body{};

  bool has_not_run_verdict() const { return m_verdict == "not-run"; }
  // Neither a whole answer nor a refusal that says that nothing ran.
  bool is_lost() const { return m_request_sent && !m_complete && !has_not_run_verdict(); }
};

struct call_options {
  std::string m_account = "interactive"; // also the key: "key-ACCOUNT"
  std::string m_service = "chat";
  std::int64_t m_tokens = 8;
  bool m_stream = true;
  std::int64_t m_timeout_ms = 20'000;
};

// Sends calls and records what came of them.
class caller {
public:
  caller();

  // A chat whose answer is checked token by token against its text.
  call_record& send_chat(const std::string& address, const std::string& text,
                         const call_options& options = {});

  // An order that may run at most once.
  call_record& send_order(const std::string& address, const std::string& key, const std::string& body,
                          const call_options& options = {.m_service = "orders"});

  // Any call.
  call_record& send(const std::string& address, net::http_request request, const call_options& options);

  const std::deque<call_record>& records() const { return m_records; }

private:
  net::http_client m_client;
  std::deque<call_record> m_records; // references stay valid
};

// Something that happens while the test goes on; the end of the object waits for it.
class background_task {
public:
  explicit background_task(std::function<void()> task)
      : m_fiber(std::move(task)) {}
  ~background_task() { join(); }
  background_task(const background_task&) = delete;
  background_task& operator=(const background_task&) = delete;

  void join() {
    if (m_fiber.joinable()) {
      m_fiber.join();
    }
  }

private:
  boost::fibers::fiber m_fiber;
};

// Callers that call one after the other until they are stopped. Like a balancer, a caller tries the next
// daemon after a refused connection or an answer that says that nothing ran.
class background_load {
public:
  using call_function = std::function<call_record&(const std::string& address, std::uint64_t number)>;

  background_load(std::function<std::vector<std::string>()> addresses, int callers, call_function call);
  ~background_load();

  // Ends after the calls in progress.
  void stop();

  std::uint64_t call_count() const { return m_calls; }

private:
  void run(int index);

  std::function<std::vector<std::string>()> m_addresses;
  call_function m_call;
  std::vector<boost::fibers::fiber> m_fibers;
  std::uint64_t m_calls = 0;
  bool m_stop = false;
};

} // namespace cardamompond::testing
