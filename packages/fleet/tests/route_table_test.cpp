#include "cardamompond/fleet/route_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::fleet;

namespace {

std::shared_ptr<declarations> make_declarations() {
  auto result = std::make_shared<declarations>();
  for (const auto* prefix : {"/", "/a/", "/a/b/"}) {
    route each;
    each.m_name = prefix;
    each.m_host = "Shop.example";
    each.m_path_prefix = prefix;
    each.m_services = {{"one", 90}, {"two", 10}};
    result->m_routes.push_back(each);
  }
  client_account account;
  account.m_name = "workshop";
  account.m_keys = {"k1", "k2"};
  result->m_client_accounts.push_back(account);
  return result;
}

std::string find_route_name(const route_table& table, std::string_view host, std::string_view path) {
  const route* match = table.find_route(host, path);
  return match == nullptr ? "none" : match->m_name;
}

} // namespace

TEST_GROUP(route_table){};

// Guards against a shorter prefix that hides a longer one, and against prefixes that match within a path
// segment.
TEST(route_table, longest_prefix_wins) {
  const route_table table(make_declarations());
  STRCMP_EQUAL("/a/b/", find_route_name(table, "shop.example", "/a/b/c").c_str());
  STRCMP_EQUAL("/a/", find_route_name(table, "shop.example", "/a/bc").c_str());
  STRCMP_EQUAL("/", find_route_name(table, "SHOP.example:8080", "/ab").c_str());
  STRCMP_EQUAL("none", find_route_name(table, "other.example", "/a/b/").c_str());
  STRCMP_EQUAL("none", find_route_name(table, "shop.example", "").c_str());
}

// Guards against an account that is found by an empty key or by a part of its key.
TEST(route_table, accounts_are_found_only_by_their_complete_keys) {
  const route_table table(make_declarations());
  STRCMP_EQUAL("workshop", table.find_account("k2")->m_name.c_str());
  POINTERS_EQUAL(nullptr, table.find_account(""));
  POINTERS_EQUAL(nullptr, table.find_account("k"));
}

// Guards against a split that never picks its first or last service.
TEST(route_table, services_are_picked_by_weight) {
  const auto source = make_declarations();
  const auto& split = source->m_routes.front();
  CHECK(route_table::pick_service(split, 0.0) == "one");
  CHECK(route_table::pick_service(split, 0.899) == "one");
  CHECK(route_table::pick_service(split, 0.901) == "two");
  CHECK(route_table::pick_service(split, 0.9999999) == "two");
}
