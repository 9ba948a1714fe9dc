#include "session_server.hpp"

#include "batch_codec.hpp"
#include "cell_codec.hpp"

#include <kj/debug.h>

#include <openssl/crypto.h>

namespace cardamompond::peer {
namespace {

// Runs `work` on the fiber runtime's thread. The returned promise resolves with its result on the KJ thread.
template <typename Work> auto run_on_runtime(server_context& context, Work work) {
  using value_type = decltype(work());
  auto pair = kj::newPromiseAndCrossThreadFulfiller<value_type>();
  // std::function requires a copyable closure, and kj::Own is not copyable.
  auto fulfiller =
      std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<value_type>>>(kj::mv(pair.fulfiller));
  context.m_runtime.post([work = std::move(work), fulfiller, stopped = context.m_stopped] {
    if (!*stopped) {
      (*fulfiller)->fulfill(work());
    }
  });
  return kj::mv(pair.promise);
}

// KJ destroys its objects through disposers, so its classes have no virtual destructor.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class session final : public wire::Session::Server {
public:
  session(server_context& context, std::string daemon)
      : m_context(context)
      , m_daemon(std::move(daemon)) {}

  kj::Promise<void> events(EventsContext call) override {
    ++m_context.m_calls_received;
    auto batch = decode(call.getParams().getBatch(), monotonic_now());
    if (!batch) {
      return reject_malformed(batch.error());
    }
    return run_on_runtime(m_context,
                          [&context = m_context, daemon = m_daemon, batch = std::move(*batch)] {
                            return context.m_handler.on_events(daemon, batch);
                          })
        .then([call](batch_reply reply) mutable { set_reply(call.getResults(), reply); });
  }

  kj::Promise<void> decisions(DecisionsContext call) override {
    ++m_context.m_calls_received;
    auto batch = decode(call.getParams().getBatch(), m_context.m_options.m_daemon_key);
    if (!batch) {
      return reject_malformed(batch.error());
    }
    return run_on_runtime(m_context,
                          [&context = m_context, daemon = m_daemon, batch = std::move(*batch)] {
                            return context.m_handler.on_decisions(daemon, batch);
                          })
        .then([call](batch_reply reply) mutable { set_reply(call.getResults(), reply); });
  }

  kj::Promise<void> fetchConfiguration(FetchConfigurationContext call) override {
    ++m_context.m_calls_received;
    return run_on_runtime(m_context,
                          [&context = m_context, above_revision = call.getParams().getAboveRevision()] {
                            return context.m_handler.on_fetch_configuration(above_revision);
                          })
        .then([call](const std::string& payload) mutable { call.getResults().setPayload(payload); });
  }

  kj::Promise<void> fetchSignals(FetchSignalsContext call) override {
    ++m_context.m_calls_received;
    return run_on_runtime(m_context, [&context = m_context] { return context.m_handler.on_fetch_signals(); })
        .then([call](const std::string& payload) mutable { call.getResults().setPayload(payload); });
  }

  kj::Promise<void> pushUsage(PushUsageContext call) override {
    ++m_context.m_calls_received;
    return run_on_runtime(m_context,
                          [&context = m_context, daemon = m_daemon,
                           payload = std::string(call.getParams().getPayload().cStr())] {
                            context.m_handler.on_usage(daemon, payload);
                            return true;
                          })
        .ignoreResult();
  }

  kj::Promise<void> cellMessage(CellMessageContext call) override {
    ++m_context.m_calls_received;
    auto message = decode(call.getParams().getMessage());
    if (!message) {
      return reject_malformed(message.error());
    }
    // The call returns without waiting for the handler, because membership messages may be lost anyway.
    m_context.m_runtime.post(
        [&context = m_context, message = std::move(*message), stopped = m_context.m_stopped,
         reply_address = std::string(call.getParams().getMessage().getReplyAddress().cStr())] {
          if (!*stopped) {
            context.m_handler.on_cell_message(message, reply_address);
          }
        });
    return kj::READY_NOW;
  }

private:
  template <typename Results> static void set_reply(Results results, const batch_reply& reply) {
    results.setAccepted(reply.m_accepted);
    results.setAcknowledged(reply.m_acknowledged);
  }

  kj::Promise<void> reject_malformed(const std::string& reason) {
    ++m_context.m_malformed;
    return KJ_EXCEPTION(FAILED, "malformed batch", reason.c_str());
  }

  server_context& m_context;
  std::string m_daemon;
};

// KJ destroys its objects through disposers, so its classes have no virtual destructor.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class entry final : public wire::Entry::Server {
public:
  explicit entry(server_context& context)
      : m_context(context) {}

  kj::Promise<void> open(OpenContext call) override {
    const auto params = call.getParams();
    const std::string& secret = m_context.m_options.m_secret;
    const auto offered_secret = params.getSecret();
    // Compared in constant time, so that response times do not reveal a prefix of the secret.
    if (offered_secret.size() != secret.size() ||
        CRYPTO_memcmp(offered_secret.begin(), secret.data(), secret.size()) != 0) {
      ++m_context.m_malformed;
      return KJ_EXCEPTION(FAILED, "wrong cell secret");
    }
    call.getResults().setSession(kj::heap<session>(m_context, params.getDaemon().cStr()));
    return kj::READY_NOW;
  }

private:
  server_context& m_context;
};

} // namespace

capnp::Capability::Client make_bootstrap_interface(server_context& context) {
  return kj::heap<entry>(context);
}

} // namespace cardamompond::peer
