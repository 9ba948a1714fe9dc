#include "usage_message.hpp"

namespace cardamompond::gateway {
namespace {

void write_usage(const fleet::usage_statement& from, wire::UsageStatement::Builder to) {
  to.setDaemon(from.m_source.m_daemon);
  to.setIncarnation(from.m_source.m_incarnation);
  auto counts = to.initCounts(static_cast<unsigned>(from.m_counts.size()));
  for (unsigned i = 0; i < counts.size(); ++i) {
    counts[i].setWindow(from.m_counts[i].m_window);
    counts[i].setAccount(from.m_counts[i].m_account);
    counts[i].setCount(from.m_counts[i].m_count);
  }
}

} // namespace

fleet::usage_statement read_usage(wire::UsageStatement::Reader from) {
  fleet::usage_statement statement{{from.getDaemon(), from.getIncarnation()}, {}};
  for (const auto& each : from.getCounts()) {
    statement.m_counts.push_back({each.getWindow(), each.getAccount(), each.getCount()});
  }
  return statement;
}

std::string encode_usage(const fleet::usage_statement& statement) {
  capnp::MallocMessageBuilder message;
  write_usage(statement, message.initRoot<wire::Report>().initUsage());
  return serialize_packed(message);
}

std::string encode_usage_list(std::span<const fleet::usage_statement> statements) {
  capnp::MallocMessageBuilder message;
  auto list =
      message.initRoot<wire::UsageStatements>().initStatements(static_cast<unsigned>(statements.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    write_usage(statements[i], list[i]);
  }
  return serialize_packed(message);
}

result<std::vector<fleet::usage_statement>, malformed_message>
decode_usage_list(std::span<const char> bytes) {
  return decode<std::vector<fleet::usage_statement>>(
      bytes, max_snapshot_words, [](capnp::MessageReader& message) {
        std::vector<fleet::usage_statement> statements;
        for (const auto& each : message.getRoot<wire::UsageStatements>().getStatements()) {
          statements.push_back(read_usage(each));
        }
        return statements;
      });
}

} // namespace cardamompond::gateway
