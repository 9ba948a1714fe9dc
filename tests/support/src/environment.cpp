#include "cardamompond/testing/environment.hpp"

#include <openssl/sha.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cardamompond::testing {

net::fiber_runtime& test_runtime() {
  static net::fiber_runtime runtime;
  return runtime;
}

std::string program_path(std::string_view name) {
  return std::string(CARDAMOMPOND_BIN_FOLDER) + "/" + std::string(name);
}

std::string find_free_address() {
  constexpr int first_port = 10'000;
  constexpr int port_count = 20'000;
  // Test programs run at the same time, so each begins its search at a different port.
  static int port_offset = static_cast<int>(::getpid()) * 67 % port_count;
  for (int attempt = 0; attempt < port_count; ++attempt) {
    port_offset = (port_offset + 1) % port_count;
    const int port = first_port + port_offset;
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(socket);
    if (bound) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
  throw std::runtime_error("no free port");
}

temporary_folder::temporary_folder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "cardamompond-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create " + pattern);
  }
  m_path = pattern;
}

temporary_folder::~temporary_folder() {
  if (std::getenv("KEEP_TEST_FOLDERS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
  } else {
    std::printf("kept test folder %s\n", m_path.c_str());
  }
}

std::string temporary_folder::write(const std::string& name, std::string_view content) const {
  const std::filesystem::path path = std::filesystem::path(m_path) / name;
  std::filesystem::create_directories(path.parent_path());
  std::ofstream file(path);
  file << content;
  if (!file.flush()) {
    throw std::runtime_error("cannot write " + path.string());
  }
  return path.string();
}

std::string sha256_hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  std::string hex;
  for (const auto byte : digest) {
    std::array<char, 3> digits{};
    std::snprintf(digits.data(), digits.size(), "%02x", byte);
    hex += digits.data();
  }
  return hex;
}

} // namespace cardamompond::testing
