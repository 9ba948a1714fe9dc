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

// The outcome of one call, as its caller observes it.
struct call_record {
  std::string m_account{};
  std::string m_idempotency_key{}; // header Idempotency-Key, or empty
  std::string m_request_id{};
  std::string m_address{};        // the address that the call was sent to
  std::int64_t m_sent_ms = 0;     // Unix time, so that it is comparable to the histories of the stand-ins
  std::int64_t m_received_ms = 0; // Unix time of the end of the response, or of the connection error
  int m_status = 0;               // 0: no response
  std::string m_verdict{};        // verdict of a response that the daemon created; empty if it forwarded one
  std::string m_code{};           // error code in the body; empty if there is none
  std::string m_connection_error{}; // message of the error that ended the call; empty if there was none
  bool m_request_sent = false;      // at least one byte of the request was sent
  bool m_complete = false;          // the complete and correct response arrived, with status 200
  std::string m_body{};

  bool has_not_run_verdict() const { return m_verdict == "not-run"; }

  // Returns whether the request was sent, but neither a complete response nor the verdict not-run came back.
  bool is_lost() const { return m_request_sent && !m_complete && !has_not_run_verdict(); }
};

struct call_options {
  std::string m_account = "interactive"; // the API key is "key-ACCOUNT"
  std::string m_service = "chat";
  std::int64_t m_tokens = 8;
  bool m_stream = true;
  std::int64_t m_timeout_ms = 20'000;
};

// Sends calls and records their outcomes.
class caller {
public:
  caller();

  // Sends a chat request. Its response counts as complete only if it has the expected text, token by token.
  call_record& send_chat(const std::string& address, const std::string& text,
                         const call_options& options = {});

  // Sends an order, a request that must run at most once, with `key` as its Idempotency-Key.
  call_record& send_order(const std::string& address, const std::string& key, const std::string& body,
                          const call_options& options = {.m_service = "orders"});

  // Sends a request, with the API key of the account and the timeout in its headers, and waits for the
  // complete response.
  call_record& send(const std::string& address, net::http_request request, const call_options& options);

  const std::deque<call_record>& records() const { return m_records; }

private:
  net::http_client m_client;
  std::deque<call_record> m_records; // a deque, because references to records have to stay valid
};

// Runs a function in a fiber while the test continues. The destructor waits until the function returns.
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

// Concurrent callers, each of which sends one call after the other until stop(). As behind a load balancer,
// successive calls of a caller go to different daemons, also after a refused connection or the verdict
// not-run. After a call without a complete response, the caller waits for 20 ms.
class background_load {
public:
  using call_function = std::function<call_record&(const std::string& address, std::uint64_t number)>;

  // `get_addresses` returns the addresses of the daemons to be called; it is called before each call. `call`
  // sends one call; its `number` starts at 1 and is unique among the calls of this object.
  background_load(std::function<std::vector<std::string>()> get_addresses, int caller_count,
                  call_function call);
  ~background_load();

  // Ends the callers, and waits for the calls in progress.
  void stop();

  // Returns the number of calls that were started.
  std::uint64_t call_count() const { return m_call_count; }

private:
  void run(int caller_index);

  std::function<std::vector<std::string>()> m_get_addresses;
  call_function m_call;
  std::vector<boost::fibers::fiber> m_fibers;
  std::uint64_t m_call_count = 0;
  bool m_stopping = false;
};

} // namespace cardamompond::testing
