#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace cardamompond::testing {

// What a process of this test holds, from /proc/PID.
struct process_usage {
  std::size_t m_peak_bytes = 0; // greatest resident memory since its start
  std::size_t m_descriptors = 0;
};

process_usage read_process_usage(pid_t pid);

// Clients that send the same bytes, each on a connection of its own, and then stay connected without reading
// a response to its end. Their connections are closed by the destructor.
class hostile_crowd {
public:
  // Sends datagrams to "IP:PORT".
  class datagram_sender {
  public:
    explicit datagram_sender(const std::string& address);
    ~datagram_sender();
    datagram_sender(const datagram_sender&) = delete;
    datagram_sender& operator=(const datagram_sender&) = delete;
    void send(std::string_view bytes) const;

  private:
    int m_socket = -1;
  };

  // Opens a connection to "IP:PORT" for each of `count` clients. A connection that is refused counts as
  // closed. With `reads` they read responses slowly, without it not at all.
  hostile_crowd(const std::string& address, std::size_t count, bool reads = true);
  ~hostile_crowd();
  hostile_crowd(const hostile_crowd&) = delete;
  hostile_crowd& operator=(const hostile_crowd&) = delete;

  // Sends the bytes on all connections in turn, `piece_bytes` at a time, until each has sent everything or is
  // closed by the server, or until none gets on. Other fibers of the test run meanwhile.
  void send(std::string_view bytes, std::size_t piece_bytes);

  std::size_t open_count() const;

private:
  struct client {
    int m_socket = -1;
    std::size_t m_sent = 0;
  };

  // Returns whether some bytes were sent.
  bool send_piece(client& sender, std::string_view bytes, std::size_t piece_bytes) const;

  bool m_reads;
  std::vector<client> m_clients;
};

// The head of a request, followed by `body_bytes` minus one bytes of a body of `body_bytes`.
std::string make_incomplete_request(std::string_view head, std::size_t body_bytes);

// The same with a chunked body whose chunks have that size. The last byte of the last chunk is missing.
std::string make_incomplete_chunked_request(std::string_view head, std::size_t body_bytes,
                                            std::size_t chunk_bytes);

} // namespace cardamompond::testing
