#include "cardamompond/fleet/route_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

std::shared_ptr<declarations> make_declarations() {
  auto made = std::make_shared<declarations>();
  for (const auto* prefix : {"/", "/a/", "/a/b/"}) {
    route each;
    each.m_name = prefix;
    each.m_host = "Shop.example";
    each.m_path_prefix = prefix;
    each.m_services = {{"one", 90}, {"two", 10}};
    made->m_routes.push_back(each);
  }
  client_account account;
  account.m_name = "workshop";
  account.m_keys = {"k1", "k2"};
  made->m_client_accounts.push_back(account);
  return made;
}

std::string found(const route_table& table, std::string_view host, std::string_view path) {
  const route* match = table.find_route(host, path);
  return match == nullptr ? "none" : match->m_name;
}

} // namespace

TEST_GROUP(route_table){};

// Guards against a shorter prefix that hides a longer one, and against prefixes that match within a segment.
TEST(route_table, longest_prefix_wins) {
  const route_table table(make_declarations());
  STRCMP_EQUAL("/a/b/", found(table, "shop.example", "/a/b/c").c_str());
  STRCMP_EQUAL("/a/", found(table, "shop.example", "/a/bc").c_str());
  STRCMP_EQUAL("/", found(table, "SHOP.example:8080", "/ab").c_str());
  STRCMP_EQUAL("none", found(table, "other.example", "/a/b/").c_str());
  STRCMP_EQUAL("none", found(table, "shop.example", "").c_str());
}

// Guards against a key of one account that opens another, and against empty keys.
TEST(route_table, accounts_are_found_by_their_keys_only) {
  const route_table table(make_declarations());
  STRCMP_EQUAL("workshop", table.find_account("k2")->m_name.c_str());
  POINTERS_EQUAL(nullptr, table.find_account(""));
  POINTERS_EQUAL(nullptr, table.find_account("k"));
}

// Guards against splits that never pick their last or first service.
TEST(route_table, splits_follow_their_weights) {
  const auto source = make_declarations();
  const auto& split = source->m_routes.front();
  CHECK(route_table::pick_service(split, 0.0) == "one");
  CHECK(route_table::pick_service(split, 0.899) == "one");
  CHECK(route_table::pick_service(split, 0.901) == "two");
  CHECK(route_table::pick_service(split, 0.9999999) == "two");
}
