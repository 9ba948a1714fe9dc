#include "cardamompond/gateway/fleet_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::gateway;

namespace {

// Reads each document as a server whose version is the content, and counts the documents that it reads.
// Declarations have the length of the content as their version.
class counting_reader final : public document_reader {
public:
  read_result<fleet::declarations> read_declarations(const document& source) const override {
    fleet::declarations declarations;
    declarations.m_version = source.m_content.size();
    return declarations;
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

// Guards against an older configuration that a copy of the store brings back, against a newer one with a
// lower revision that is not taken, and against one that is missed since its revision was given out before.
TEST(fleet_view, the_highest_version_of_the_declarations_holds_in_a_new_era) {
  counting_reader reader;
  fleet_view view(reader);
  constexpr auto kind = collection_kind::declarations;
  view.apply(kind, collection_snapshot{{1, 9}, {{"main", {1, 9}, "vvv"}}}, "test");
  view.apply(kind, collection_snapshot{{2, 5}, {{"main", {2, 4}, "vv"}}}, "test");
  UNSIGNED_LONGS_EQUAL(3, view.routes()->source().m_version);
  view.apply(kind, collection_changes{{2, 6}, {{{"main", {2, 6}, "vvvvv"}, false}}}, "test");
  UNSIGNED_LONGS_EQUAL(5, view.routes()->source().m_version);
  view.apply(kind, collection_snapshot{{3, 6}, {{"main", {3, 6}, "vvvvvv"}}}, "test");
  UNSIGNED_LONGS_EQUAL(6, view.routes()->source().m_version);
}

// Guards against an evacuation that a copy of the store ends or brings back, also at a daemon that learns of
// the new era from a peer because the store is out of its reach.
TEST(fleet_view, evacuations_of_the_earlier_era_hold_until_it_ends) {
  using origin = collection_replica::origin;
  for (const auto from : {origin::store, origin::peer}) {
    counting_reader reader;
    fleet_view view(reader);
    constexpr auto kind = collection_kind::evacuations;
    view.apply(kind, collection_snapshot{{1, 8}, {{"a", {1, 7}, ""}, {"b", {1, 8}, ""}}}, "test");
    view.apply(kind, collection_changes{{1, 9}, {{{"a", {1, 9}, ""}, true}}}, "test");
    view.apply(kind, collection_snapshot{{2, 7}, {{"a", {2, 7}, ""}}}, "test", from);
    CHECK(view.evacuated_zones() == (std::set<std::string, std::less<>>{"b"}));
    view.apply(kind, collection_changes{{2, 8}, {{{"a", {2, 8}, ""}, false}}}, "test"); // ordered again
    CHECK(view.evacuated_zones() == (std::set<std::string, std::less<>>{"a", "b"}));
    view.expire_earlier_era(kind, monotonic_now() + seconds(4));
    CHECK(view.evacuated_zones() == (std::set<std::string, std::less<>>{"a", "b"}));
    view.expire_earlier_era(kind, monotonic_now() + seconds(5));
    CHECK(view.evacuated_zones() == (std::set<std::string, std::less<>>{"a"}));
  }
}
