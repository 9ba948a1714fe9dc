#include "cardamompond/ctl/verbs.hpp"
#include "cardamompond/net/http_object_store.hpp"

#include <cstdlib>
#include <iostream>
#include <memory>

namespace {

using namespace cardamompond;

std::string read_environment_variable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string() : std::string(value);
}

// The platform accepts 2,000 reads a second from all its clients together. Showing the usage of a month in
// 300 cells takes about 9,300 reads.
constexpr double max_reads_per_s = 200;

int run_program(const std::vector<std::string>& arguments) {
  const auto parsed = ctl::parse_command_line(arguments, {read_environment_variable("CARDAMOMPOND_PLATFORM"),
                                                          read_environment_variable("CARDAMOMPOND_OWNER")});
  if (!parsed) {
    if (!parsed.error().m_message.empty()) {
      std::cerr << "error: " << parsed.error().m_message << '\n';
    }
    return static_cast<int>(parsed.error().m_exit_code);
  }
  net::fiber_runtime runtime;
  std::unique_ptr<object_store> store;
  if (!parsed->m_platform.empty()) {
    store = std::make_unique<net::http_object_store>(
        runtime, net::http_object_store_options{.m_address = parsed->m_platform,
                                                .m_max_reads_per_s = max_reads_per_s});
  }
  net::http_client client(runtime);
  return static_cast<int>(ctl::run(*parsed, store.get(), client, {std::cout, std::cerr}));
}

} // namespace

int main(int argc, char** argv) {
  try {
    return run_program({argv + 1, argv + argc});
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return static_cast<int>(ctl::exit_code::invalid_arguments);
  }
}
