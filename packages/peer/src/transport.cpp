#include "cardamompond/peer/transport.hpp"

#include "batch_codec.hpp"
#include "cell_codec.hpp"
#include "compressed_stream.hpp"
#include "counting_stream.hpp"
#include "event_loop.hpp"
#include "session_server.hpp"

#include <capnp/rpc-twoparty.h>

#include <map>

namespace cardamompond::peer {
namespace {

// A connection to or from a peer with its RPC system. The order of the members matters: they are destroyed in
// reverse order, and the RPC system must be destroyed before the network and the network before the streams.
class connection : public kj::Refcounted {
public:
  connection(kj::Own<kj::AsyncIoStream> stream, stream_counters& counters, capnp::rpc::twoparty::Side side,
             kj::Maybe<capnp::Capability::Client> bootstrap)
      : m_stream(kj::mv(stream), counters)
      , m_compressed(m_stream)
      , m_network(m_compressed, side)
      , m_rpc(make_rpc(m_network, kj::mv(bootstrap))) {}

  kj::Promise<void> on_disconnect() { return m_network.onDisconnect(); }

  // Requests a session from the server. Cap'n Proto pipelines calls on the session that are made before the
  // reply arrives.
  wire::Session::Client open_session(const transport_options& options) {
    capnp::MallocMessageBuilder message;
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    auto request = m_rpc.bootstrap(vat).castAs<wire::Entry>().openRequest();
    request.setSecret(options.m_secret);
    request.setDaemon(options.m_daemon_name);
    return request.send().getSession();
  }

private:
  static capnp::RpcSystem<capnp::rpc::twoparty::VatId>
  make_rpc(capnp::TwoPartyVatNetwork& network, kj::Maybe<capnp::Capability::Client> bootstrap) {
    KJ_IF_MAYBE (interface, bootstrap) {
      return capnp::makeRpcServer(network, kj::mv(*interface));
    }
    return capnp::makeRpcClient(network);
  }

  counting_stream m_stream;
  compressed_stream m_compressed;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

// An outgoing connection, which may not be established yet. Calls on `m_session` wait until it is.
struct outgoing_connection : public kj::Refcounted {
  explicit outgoing_connection(kj::Promise<wire::Session::Client> session)
      : m_session(kj::mv(session)) {}

  kj::Own<connection> m_connection;
  wire::Session::Client m_session;
};

peer_error to_peer_error(const kj::Exception& error) {
  return {error.getDescription().cStr(), error.getType() == kj::Exception::Type::OVERLOADED};
}

} // namespace

// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor): a base class of KJ has none
class peer_transport::impl final : public kj::TaskSet::ErrorHandler {
public:
  impl(net::fiber_runtime& runtime, transport_options options, peer_handler& handler)
      : m_options(std::move(options))
      , m_runtime(runtime)
      , m_server{runtime, handler, m_options, std::make_shared<std::atomic<bool>>(false)}
      , m_loop([this](kj::AsyncIoContext& io) { listen(io); }, [this] { release_kj_objects(); }) {}

  ~impl() {
    *m_server.m_stopped = true;
    m_loop.stop();
  }

  // Makes one call on the KJ thread. `send_request` sends the request and returns a promise of the result.
  // `on_reply` runs on the fiber runtime's thread.
  template <typename T, typename SendRequest>
  void call(const std::string& address, SendRequest send_request, callback<T> on_reply) {
    ++m_calls_sent;
    m_loop.post([this, address, send_request = std::move(send_request),
                 on_reply = std::move(on_reply)](kj::AsyncIoContext& io) {
      auto peer_connection = find_or_open_connection(address, io);
      auto& timer = io.provider->getTimer();
      const auto timeout = static_cast<std::int64_t>(m_options.m_call_timeout.count()) * kj::MILLISECONDS;
      auto reply = timer.timeoutAfter(timeout, send_request(peer_connection->m_session));
      m_tasks->add(reply.then(
          [this, on_reply](T value) { deliver<T>(on_reply, std::move(value)); },
          [this, on_reply, address, failed = kj::mv(peer_connection)](kj::Exception&& error) mutable {
            ++m_calls_failed;
            remove_connection(address, *failed);
            deliver<T>(on_reply, to_peer_error(error));
          }));
    });
  }

  std::uint16_t port() const { return m_port; }

  // Returns the listen address with the actual port in place of port 0.
  std::string address() const {
    const auto& listen_address = m_options.m_listen_address;
    return listen_address.substr(0, listen_address.rfind(':') + 1) + std::to_string(m_port);
  }

  transport_counters counters() const {
    return {m_stream_counters.m_bytes_sent,
            m_stream_counters.m_bytes_received,
            m_calls_sent,
            m_server.m_calls_received,
            m_calls_failed,
            m_server.m_malformed};
  }

private:
  void listen(kj::AsyncIoContext& io) {
    m_tasks = kj::heap<kj::TaskSet>(*this);
    auto address = io.provider->getNetwork().parseAddress(m_options.m_listen_address).wait(io.waitScope);
    m_receiver = address->listen();
    m_port = static_cast<std::uint16_t>(m_receiver->getPort());
    m_tasks->add(accept_loop());
  }

  // Destroys the objects that belong to the KJ thread, in the order that the RPC systems require.
  void release_kj_objects() {
    m_tasks = nullptr;
    m_outgoing_connections.clear();
    m_receiver = nullptr;
  }

  kj::Promise<void> accept_loop() {
    return m_receiver->accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
      auto accepted =
          kj::refcounted<connection>(kj::mv(stream), m_stream_counters, capnp::rpc::twoparty::Side::SERVER,
                                     make_bootstrap_interface(m_server));
      auto disconnected = accepted->on_disconnect();
      m_tasks->add(disconnected.attach(kj::mv(accepted)));
      return accept_loop();
    });
  }

  kj::Own<outgoing_connection> find_or_open_connection(const std::string& address, kj::AsyncIoContext& io) {
    if (const auto it = m_outgoing_connections.find(address); it != m_outgoing_connections.end()) {
      return kj::addRef(*it->second);
    }
    auto pair = kj::newPromiseAndFulfiller<wire::Session::Client>();
    auto peer_connection = kj::refcounted<outgoing_connection>(kj::mv(pair.promise));
    auto fulfiller = kj::heap(kj::mv(pair.fulfiller));
    auto* session_fulfiller = fulfiller.get();
    m_tasks->add(
        io.provider->getNetwork()
            .parseAddress(address)
            .then([](kj::Own<kj::NetworkAddress>&& parsed) {
              auto connecting = parsed->connect();
              return connecting.attach(kj::mv(parsed));
            })
            .then(
                [this, session_fulfiller,
                 opening = kj::addRef(*peer_connection)](kj::Own<kj::AsyncIoStream>&& stream) mutable {
                  opening->m_connection = kj::refcounted<connection>(
                      kj::mv(stream), m_stream_counters, capnp::rpc::twoparty::Side::CLIENT, nullptr);
                  (*session_fulfiller)->fulfill(opening->m_connection->open_session(m_options));
                },
                [session_fulfiller](kj::Exception&& error) { (*session_fulfiller)->reject(kj::mv(error)); })
            .attach(kj::mv(fulfiller)));
    m_outgoing_connections.emplace(address, kj::addRef(*peer_connection));
    return peer_connection;
  }

  // Removes a connection from the map after a failed call, so that the next call opens a new one.
  void remove_connection(const std::string& address, outgoing_connection& failed) {
    if (const auto it = m_outgoing_connections.find(address);
        it != m_outgoing_connections.end() && it->second.get() == &failed) {
      m_outgoing_connections.erase(it);
    }
  }

  template <typename T> void deliver(const callback<T>& on_reply, peer_result<T> value) {
    m_runtime.post([on_reply, value = std::move(value), stopped = m_server.m_stopped] {
      if (!*stopped) {
        on_reply(value);
      }
    });
  }

  // Ignores the exception: peers may close connections at any time, and failed calls are reported to their
  // callers.
  void taskFailed(kj::Exception&& /*exception*/) override {}

  transport_options m_options;
  net::fiber_runtime& m_runtime;
  server_context m_server;
  stream_counters m_stream_counters;
  std::atomic<std::uint64_t> m_calls_sent{0};
  std::atomic<std::uint64_t> m_calls_failed{0};
  std::uint16_t m_port = 0;
  kj::Own<kj::ConnectionReceiver> m_receiver;
  std::map<std::string, kj::Own<outgoing_connection>> m_outgoing_connections;
  kj::Own<kj::TaskSet> m_tasks;
  event_loop m_loop;
};

namespace {

template <typename Response> batch_reply to_batch_reply(const Response& response) {
  return {response.getAccepted(), response.getAcknowledged()};
}

} // namespace

peer_transport::peer_transport(net::fiber_runtime& runtime, transport_options options, peer_handler& handler)
    : m_impl(std::make_unique<impl>(runtime, std::move(options), handler)) {}

peer_transport::~peer_transport() = default;

std::uint16_t peer_transport::port() const {
  return m_impl->port();
}

void peer_transport::send_cell_message(const std::string& address, cell::cell_message message) {
  m_impl->call<success>(
      address,
      [message = std::move(message), reply_address = m_impl->address()](wire::Session::Client& session) {
        auto request = session.cellMessageRequest();
        auto out = request.initMessage();
        out.setReplyAddress(reply_address);
        encode(message, out);
        return request.send().then([](auto&& /*response*/) { return success{}; });
      },
      [](const peer_result<success>& /*outcome*/) {});
}

void peer_transport::send_events(const std::string& address, event_batch batch,
                                 callback<batch_reply> on_reply) {
  m_impl->call<batch_reply>(
      address,
      [batch = std::move(batch)](wire::Session::Client& session) {
        auto request = session.eventsRequest();
        encode(batch, monotonic_now(), request.initBatch());
        return request.send().then([](auto&& response) { return to_batch_reply(response); });
      },
      std::move(on_reply));
}

void peer_transport::send_decisions(const std::string& address, decision_batch batch,
                                    callback<batch_reply> on_reply) {
  m_impl->call<batch_reply>(
      address,
      [batch = std::move(batch)](wire::Session::Client& session) {
        auto request = session.decisionsRequest();
        encode(batch, request.initBatch());
        return request.send().then([](auto&& response) { return to_batch_reply(response); });
      },
      std::move(on_reply));
}

void peer_transport::fetch_configuration(const std::string& address, std::uint64_t above_revision,
                                         callback<std::string> on_reply) {
  m_impl->call<std::string>(
      address,
      [above_revision](wire::Session::Client& session) {
        auto request = session.fetchConfigurationRequest();
        request.setAboveRevision(above_revision);
        return request.send().then([](auto&& response) { return std::string(response.getPayload().cStr()); });
      },
      std::move(on_reply));
}

void peer_transport::fetch_signals(const std::string& address, callback<std::string> on_reply) {
  m_impl->call<std::string>(
      address,
      [](wire::Session::Client& session) {
        return session.fetchSignalsRequest().send().then(
            [](auto&& response) { return std::string(response.getPayload().cStr()); });
      },
      std::move(on_reply));
}

void peer_transport::push_usage(const std::string& address, std::string payload, callback<success> on_reply) {
  m_impl->call<success>(
      address,
      [payload = std::move(payload)](wire::Session::Client& session) {
        auto request = session.pushUsageRequest();
        request.setPayload(payload);
        return request.send().then([](auto&& /*response*/) { return success{}; });
      },
      std::move(on_reply));
}

transport_counters peer_transport::counters() const {
  return m_impl->counters();
}

} // namespace cardamompond::peer
