#include "membership_wire.hpp"

#include "cell_codec.hpp"

#include <stdexcept>

#include <capnp/message.h>
#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>

namespace cardamompond::benchmark {
namespace {

// Example of the address that the transport adds to each message.
constexpr const char* reply_address = "10.11.12.13:7000";

template <typename F> std::size_t rpc_message_size_bytes(F fill) {
  capnp::MallocMessageBuilder builder;
  fill(builder.initRoot<capnp::rpc::Message>());
  return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

// Returns the total size of the Return message of a call without results and of the Finish message for it.
std::size_t response_size_bytes() {
  static const std::size_t bytes =
      rpc_message_size_bytes([](capnp::rpc::Message::Builder rpc_message) {
        auto return_message = rpc_message.initReturn();
        return_message.setAnswerId(1);
        return_message.initResults().getContent().initAs<peer::wire::Session::CellMessageResults>();
      }) +
      rpc_message_size_bytes(
          [](capnp::rpc::Message::Builder rpc_message) { rpc_message.initFinish().setQuestionId(1); });
  return bytes;
}

} // namespace

std::size_t wire_size_bytes(const cell::cell_message& message) {
  return response_size_bytes() + rpc_message_size_bytes([&](capnp::rpc::Message::Builder rpc_message) {
           auto call = rpc_message.initCall();
           call.setQuestionId(1);
           call.initTarget().setImportedCap(1);
           auto encoded =
               call.initParams().getContent().initAs<peer::wire::Session::CellMessageParams>().initMessage();
           peer::encode(message, encoded);
           encoded.setReplyAddress(reply_address);
         });
}

void encode_message(const cell::cell_message& message) {
  capnp::MallocMessageBuilder builder;
  peer::encode(message, builder.initRoot<peer::wire::CellMessage>());
}

void encode_and_decode_message(const cell::cell_message& message) {
  capnp::MallocMessageBuilder builder;
  peer::encode(message, builder.initRoot<peer::wire::CellMessage>());
  if (!peer::decode(builder.getRoot<peer::wire::CellMessage>().asReader())) {
    throw std::runtime_error("an encoded membership message cannot be decoded");
  }
}

} // namespace cardamompond::benchmark
