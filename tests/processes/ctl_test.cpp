#include "cardamompond/cell/usage_object.hpp"
#include "cardamompond/testing/test_cell.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/json/parse.hpp>

#include <chrono>

using namespace cardamompond;
using namespace cardamompond::testing;

namespace {

const std::string north_folder = std::string(CARDAMOMPOND_EXAMPLES_FOLDER) + "/declarations/north";
const std::string south_folder = std::string(CARDAMOMPOND_EXAMPLES_FOLDER) + "/declarations/south";

std::string zone_declaration(const std::string& region) {
  return "[[availability_zone]]\nname = \"z\"\nowner = \"north\"\nregion = \"" + region + "\"\n";
}

} // namespace

TEST_GROUP(ctl) {
  temporary_folder m_folder;
  standin_process m_api{"standin_object_api", {}, m_folder.path() + "/api.log"};
  int m_runs = 0;

  std::vector<std::string> add_platform_arguments(std::vector<std::string> arguments,
                                                  const std::string& owner) {
    arguments.insert(arguments.end(), {"--platform", m_api.address(), "--owner", owner});
    return arguments;
  }

  std::string next_output_path() {
    return m_folder.path() + "/ctl" + std::to_string(++m_runs) + ".log";
  }

  finished_process run(const std::vector<std::string>& arguments) {
    return run_program(program_path("cardamompondctl"), arguments, next_output_path());
  }

  // Runs cardamompondctl against the object API, checks its exit code and that its output contains
  // `expected_text`, and returns the output.
  std::string run_and_check(int exit_code, std::vector<std::string> arguments, std::string_view expected_text,
                            const std::string& owner = "north") {
    const auto finished = run(add_platform_arguments(std::move(arguments), owner));
    LONGS_EQUAL_TEXT(exit_code, finished.m_exit_code, finished.m_output.c_str());
    CHECK_TEXT(finished.m_output.find(expected_text) != std::string::npos, finished.m_output.c_str());
    return finished.m_output;
  }

  // Creates an object in the object API, as the daemons do.
  void create_object(const std::string& key, const std::string& value) {
    net::http_client client(test_runtime());
    const net::http_request request{"PUT", "/v1/objects/" + key, {{"If-None-Match", "*"}}, value};
    LONGS_EQUAL(200, client.fetch(m_api.address(), request, milliseconds(2000))->m_status);
  }

  std::int64_t head_revision() {
    return m_api.fetch_json("/v1/objects/config/head").at("revision").as_int64();
  }
};

// Guards against example declarations that are invalid or cannot be published in the order that their
// comments describe.
TEST(ctl, the_examples_are_valid_and_can_be_published) {
  const auto both_owners = run({"check", std::string(CARDAMOMPOND_EXAMPLES_FOLDER) + "/declarations"});
  LONGS_EQUAL_TEXT(0, both_owners.m_exit_code, both_owners.m_output.c_str());
  run_and_check(1, {"check", south_folder}, "zones.toml:13: backend_server engine-3: service refers to",
                "south");
  run_and_check(0, {"publish", north_folder}, "published revision 1");
  run_and_check(0, {"check", south_folder}, "no findings", "south");
  run_and_check(0, {"diff", south_folder}, "7 changes against revision 1", "south");
  run_and_check(0, {"publish", south_folder}, "published revision 2", "south");
  run_and_check(0, {"publish", north_folder}, "nothing to change at revision 2");
  run_and_check(0, {"get", "backend_server", "engine-3"}, "address: 127.0.0.1:9103");
  run_and_check(1, {"get", "backend_server", "engine-4"}, "is not published");
  run_and_check(0, {"get", "--output", "json"}, "{\"revision\":2,");
  run_and_check(1, {"publish", south_folder}, "declares no object of owner \"north\"");
}

// Guards against a check that stops at the first finding, against findings without file, line, object or
// remedy, and against publishing a folder that has findings.
TEST(ctl, an_invalid_folder_is_refused_with_all_findings) {
  m_folder.write("bad/a.toml", "[[tier]]\nname = \"top\"\nrank = 1\n[[tier\n");
  m_folder.write("bad/sub/b.toml", zone_declaration("r1") + "state = \"gone\"\ncolour = 1\n");
  m_folder.write("bad/c.toml", "[[client_account]]\nname = \"acc\"\nowner = \"north\"\ntier = \"none\"\n"
                               "key_sha256 = [\"x\"]\n");
  const std::string folder_path = m_folder.path() + "/bad";
  const auto output = run_and_check(1, {"check", folder_path}, "5 findings");
  for (const char* line :
       {"/a.toml:4: not valid TOML: ",
        "/sub/b.toml:5: availability_zone z: state: wrong type or value; write",
        "/sub/b.toml:6: availability_zone z: unknown key \"colour\"; remove it or use one of: name, owner",
        "/c.toml:5: client_account acc: key_sha256: \"x\" is not a SHA-256 hash; write 64",
        "/c.toml:4: client_account acc: tier refers to tier \"none\", which does not exist; declare it"}) {
    CHECK_TEXT(output.find(folder_path + line) != std::string::npos, (line + ("\n" + output)).c_str());
  }
  run_and_check(1, {"publish", folder_path}, "the folder is refused");
  run_and_check(0, {"get"}, "revision 0");
  run_and_check(1, {"check", m_folder.path() + "/none"}, "cannot read the folder");
}

// Two operators publish on top of the same revision at the same time. Exactly one of them must succeed. The
// other must get a conflict error that names the changed object.
TEST(ctl, one_of_two_concurrent_publishers_succeeds_and_the_other_reports_the_change) {
  m_api.set_parameters(
      {{"latency_ms", 20}}); // lets both operators read the head before either of them writes it
  for (int round = 0; round < 5; ++round) {
    std::vector<std::unique_ptr<child_process>> operators;
    for (int operator_index = 0; operator_index < 2; ++operator_index) {
      const std::string name = "race" + std::to_string(operator_index);
      m_folder.write(name + "/z.toml", zone_declaration("r" + std::to_string(2 * round + operator_index)));
      operators.push_back(std::make_unique<child_process>(
          program_path("cardamompondctl"),
          add_platform_arguments({"publish", m_folder.path() + "/" + name, "--base", std::to_string(round)},
                                 "north"),
          next_output_path()));
    }
    const int first_exit_code = operators[0]->wait_for_exit(seconds(10));
    const int second_exit_code = operators[1]->wait_for_exit(seconds(10));
    const auto& loser = *operators[first_exit_code == 0 ? 1 : 0];
    CHECK_TEXT((first_exit_code == 0 && second_exit_code == 4) ||
                   (first_exit_code == 4 && second_exit_code == 0),
               loser.read_output().c_str());
    CHECK_TEXT(loser.read_output().find(" availability_zone z") != std::string::npos,
               loser.read_output().c_str());
    LONGS_EQUAL(round + 1, head_revision());
    run_and_check(0, {"get", "availability_zone", "z"},
                  "region: r" + std::to_string(2 * round + (first_exit_code == 0 ? 0 : 1)));
    run_and_check(4,
                  {"publish", m_folder.path() + (first_exit_code == 0 ? "/race1" : "/race0"), "--base",
                   std::to_string(round)},
                  "changed availability_zone z: at revision " + std::to_string(round));
  }
}

// Guards against a change set that is published twice after the platform lost its request or the reply. The
// change-set id shows whether it has been published already.
TEST(ctl, change_sets_are_published_once_after_lost_replies_and_requests) {
  m_folder.write("d/z.toml", zone_declaration("r1"));
  const std::string folder = m_folder.path() + "/d";
  m_api.set_parameters({{"lose_replies", 1}});
  run_and_check(0, {"publish", folder, "--change-set", "first"}, "published revision 1");
  m_folder.write("d/z.toml", zone_declaration("r2"));
  m_api.set_parameters({{"lose_requests", 12}}); // more than the write attempts of the publisher in one call
  run_and_check(0, {"publish", folder}, "published revision 2");
  run_and_check(0, {"publish", folder, "--change-set", "first"}, "already published as revision 1");
  LONGS_EQUAL(2, head_revision());
  m_folder.write("d/z.toml", zone_declaration("r3"));
  m_api.set_parameters({{"lose_requests", 1000}});
  run_and_check(3, {"publish", folder, "--timeout-ms", "100"}, "publish again with --change-set ");
  LONGS_EQUAL(2, head_revision());
}

// While the platform is unavailable, each verb that needs it must end with exit code 3 and a single line.
TEST(ctl, an_outage_has_its_own_exit_code) {
  run_and_check(0, {"publish", north_folder}, "published revision 1");
  m_api.set_parameters({{"outage", true}});
  for (const auto& arguments : std::vector<std::vector<std::string>>{
           {"check", north_folder}, {"diff", north_folder}, {"publish", north_folder}, {"get"}, {"status"}}) {
    STRCMP_EQUAL("error: object API answered 503\n", run_and_check(3, arguments, "").c_str());
  }
  m_api.set_parameters({{"outage", false}});
  run_and_check(0, {"publish", north_folder}, "nothing to change");
}

// Guards against a change set that removes an object to which declarations of another owner refer.
TEST(ctl, a_removal_that_the_other_owner_depends_on_is_refused) {
  run_and_check(0, {"publish", north_folder}, "published revision 1");
  run_and_check(0, {"publish", south_folder}, "published revision 2", "south");
  m_folder.write("d/z.toml", zone_declaration("r1"));
  run_and_check(1, {"publish", m_folder.path() + "/d"},
                "published configuration: backend_server engine-3: service");
  LONGS_EQUAL(2, head_revision());
}

// Guards against a status report that omits members or cells which are not at the published revision.
TEST(ctl, status_names_members_and_cells_that_lag_behind) {
  run_and_check(0, {"publish", north_folder}, "published revision 1");
  run_and_check(0, {"status"}, "cell main: no status is written yet");
  const auto now =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  const std::string record =
      R"({"cell":"main","written_unix_ms":)" + std::to_string(now.count()) +
      R"(,"members":[{"name":"d1","revision":1,"since_ms_ago":5000,"in_force":true},)"
      R"({"name":"d2","revision":0,"since_ms_ago":0,"in_force":true},)"
      R"({"name":"d3","revision":0,"since_ms_ago":0,"in_force":false}],)"
      R"("moves":[{"service":"chat","to":"chat-v2","state":"taken_back","percent":0,"reason":"slow"}],)"
      R"("backend_servers":[{"name":"engine-1","cold":true,"in_service":true,"limit":1,"outstanding":1}]})";
  create_object("status/main", record);
  const auto text = run_and_check(0, {"status"}, "  member d1: revision 1 since 2");
  CHECK(text.find("not at revision 1: cell main: member d2 is at revision 0\n") != std::string::npos);
  CHECK(text.find("not at revision 1: cell main: member d3 is unreachable") != std::string::npos);
  CHECK(text.find("rollout of chat to chat-v2: rolled back, 0%, slow\n") != std::string::npos);
  CHECK(text.find("backend_server engine-1: in service, cold, outstanding 1 of 1\n") != std::string::npos);
  const auto json = boost::json::parse(run_and_check(0, {"status", "--output", "json"}, "{"));
  LONGS_EQUAL(2, json.at("not_at_revision").as_array().size());
}

// Guards against a usage report with wrong sums over cells, days and daemon incarnations, with a wrong split
// between owners, or that omits an unreadable usage object without an error.
TEST(ctl, usage_sums_a_period_and_splits_it_between_owners) {
  run_and_check(0, {"publish", north_folder}, "published revision 1");
  run_and_check(0, {"publish", south_folder}, "published revision 2", "south");
  const cell::usage_key own_servers{"north-batch", "chat", "north"};
  const cell::usage_key foreign_servers{"north-batch", "chat", "south"};
  const cell::usage_key several_names{"*", "*", "south"};
  cell::usage_object object;
  object.m_folded[own_servers] = {1, 10, 100, 1'000'001};
  object.m_incarnations[{"d1", 7}][own_servers] = {2, 20, 200, 1'000'000};
  object.m_incarnations[{"d2", 3}][foreign_servers] = {3, 30, 300, 5};
  create_object("usage/main/2026-12-03", cell::encode(object));
  create_object("usage/main/2026-12-04", cell::encode(object));
  object.m_incarnations[{"d2", 3}][several_names] = {4, 40, 400, 6};
  create_object("usage/other/2026-12-04", cell::encode(object));
  create_object("usage/main/2026-12-05", cell::encode(object));
  const std::vector<std::string> period_arguments = {"usage", "--from",     "2026-12-03",
                                                     "--to",  "2026-12-04", "--output"};
  const auto report_arguments = [&](const char* format) {
    auto arguments = period_arguments;
    arguments.emplace_back(format);
    return arguments;
  };
  STRCMP_EQUAL("record,account_owner,client_account,service,backend_server_owner,prompt_tokens,output_tokens,"
               "requests,engine_seconds\n"
               "usage,north,north-batch,chat,north,9,90,900,6.000003\n"
               "usage,north,north-batch,chat,south,9,90,900,0.000015\n"
               "usage,unknown,*,*,south,4,40,400,0.000006\n"
               "split,north,,,north,9,90,900,6.000003\n"
               "split,north,,,south,9,90,900,0.000015\n"
               "split,unknown,,,south,4,40,400,0.000006\n",
               run_and_check(0, report_arguments("csv"), "").c_str());
  run_and_check(0, report_arguments("text"),
                "north          south                  9          90       900        0.000015\n");
  const auto parsed = boost::json::parse(run_and_check(0, report_arguments("json"), ""));
  LONGS_EQUAL(6'000'003, parsed.at("split").at(0).at("engine_us").as_int64());
  create_object("usage/main/2026-12-06", "{}");
  run_and_check(1, {"usage", "--from", "2026-12-06"},
                "error: usage/main/2026-12-06 is not counted: malformed: ");
}

// Wrong arguments must end the program with exit code 2 and a single line. The help of each verb must list
// the exit codes.
TEST(ctl, wrong_usage_is_one_line_and_help_describes_each_verb) {
  const std::vector<std::vector<std::string>> wrong_usages = {
      {},
      {"colour"},
      {"publish", "x"},
      {"publish", "x", "--platform", "127.0.0.1:1"},
      {"get", "--platform", "localhost:1"},
      {"get", "--platform", "127.0.0.1:70000"},
      {"status", "--platform", "127.0.0.1:1", "--output", "csv"},
      {"usage", "--platform", "127.0.0.1:1", "--from", "2026-12-04", "--to", "2026-12-03"},
      {"usage", "--platform", "127.0.0.1:1", "--from", "today"},
      {"status", "--platform", "127.0.0.1:1", "--timeout-ms", "-1"},
      {"publish", "x", "--platform", "127.0.0.1:1", "--owner", "north", "--base", "1x"}};
  for (const auto& arguments : wrong_usages) {
    const auto finished = run(arguments);
    LONGS_EQUAL_TEXT(2, finished.m_exit_code, finished.m_output.c_str());
    LONGS_EQUAL(finished.m_output.size() - 1, finished.m_output.find('\n'));
  }
  for (const char* verb : {"check", "diff", "publish", "status", "get", "usage"}) {
    const auto help = run({verb, "--help"});
    LONGS_EQUAL(0, help.m_exit_code);
    CHECK(help.m_output.find("Exit codes: 0 ok; 1 findings") != std::string::npos);
  }
  LONGS_EQUAL(0, run({"--help"}).m_exit_code);
}
