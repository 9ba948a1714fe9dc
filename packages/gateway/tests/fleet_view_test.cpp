#include "cardamompond/gateway/fleet_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::gateway;

namespace {

// Reads each document as a server whose version is the content, and counts the documents that it reads.
class counting_reader final : public document_reader {
public:
  read_result<fleet::declarations> read_declarations(const document&) const override {
    return unreadable_document{"none"};
  }
  read_result<fleet::backend_server> read_backend_server(const document& source) const override {
    ++m_reads;
    if (source.m_content.empty()) {
      return unreadable_document{"empty"};
    }
    fleet::backend_server server;
    server.m_id = source.m_name;
    server.m_version = source.m_content;
    return server;
  }
  read_result<fleet::rollout_order> read_rollout(const document&) const override {
    return unreadable_document{"none"};
  }
  read_result<member> read_member(const document&) const override { return unreadable_document{"none"}; }
  std::string write_member(const member&) const override { return {}; }

  mutable int m_reads = 0;
};

} // namespace

TEST_GROUP(fleet_view){};

// Guards against a cost of each change that grows with the number of servers, and against objects that are
// kept although their document changed, became unreadable or was removed.
TEST(fleet_view, only_changed_documents_are_read) {
  counting_reader reader;
  fleet_view view(reader);
  view.apply(collection_kind::backend_servers,
             collection_snapshot{5, {{"s1", 3, "v1"}, {"s2", 4, "v1"}, {"s3", 5, ""}}}, "test");
  LONGS_EQUAL(3, reader.m_reads);
  UNSIGNED_LONGS_EQUAL(2, view.backend_servers().size());
  UNSIGNED_LONGS_EQUAL(1, view.unreadable_documents());

  view.apply(collection_kind::backend_servers,
             collection_snapshot{7, {{"s1", 3, "v1"}, {"s2", 7, "v2"}, {"s3", 5, ""}}}, "test");
  LONGS_EQUAL(4, reader.m_reads);
  STRCMP_EQUAL("v2", view.backend_servers()[1].m_version.c_str());
  UNSIGNED_LONGS_EQUAL(1, view.unreadable_documents());

  view.apply(collection_kind::backend_servers, collection_snapshot{8, {{"s1", 8, ""}, {"s2", 7, "v2"}}},
             "test");
  LONGS_EQUAL(5, reader.m_reads);
  UNSIGNED_LONGS_EQUAL(1, view.backend_servers().size());
  STRCMP_EQUAL("s2", view.backend_servers()[0].m_id.c_str());
}
