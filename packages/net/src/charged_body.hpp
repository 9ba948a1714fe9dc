#pragma once

#include <boost/asio/error.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace cardamompond::net {

// Grants the memory of a request body while it is being read.
class body_memory {
public:
  body_memory() = default;
  virtual ~body_memory() = default;
  body_memory(const body_memory&) = delete;
  body_memory& operator=(const body_memory&) = delete;

  // Asks for that much memory for the body instead of what it has. Returns false if there is none.
  virtual bool reserve_body(std::size_t bytes) = 0;
};

// A body for Beast's parsers whose buffer grows with what has arrived and not with what is announced, and
// only as far as it gets memory. Reading fails with asio::error::no_memory beyond that.
struct charged_body {
  struct value_type {
    std::string m_data;
    body_memory* m_memory = nullptr; // must be set before the body is read
  };

  static std::uint64_t size(const value_type& value) { return value.m_data.size(); }

  class reader {
  public:
    template <bool is_request, typename Fields>
    reader(boost::beast::http::header<is_request, Fields>& /*header*/, value_type& value)
        : m_value(value) {}

    void init(const boost::optional<std::uint64_t>& length, boost::system::error_code& error) {
      m_length = length;
      error = {};
    }

    template <typename Buffers> std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      const std::size_t bytes = boost::beast::buffer_bytes(buffers);
      error = {};
      std::string& data = m_value.m_data;
      if (data.size() + bytes > data.capacity() && !grow(data.size() + bytes)) {
        error = boost::asio::error::no_memory;
        return 0;
      }
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        data.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return bytes;
    }

    static void finish(boost::system::error_code& error) { error = {}; }

  private:
    // Bodies up to this size get their whole buffer with their first bytes.
    static constexpr std::size_t first_capacity = 64U << 10U;

    // Doubles the buffer, but not beyond the announced length. Both buffers are held during the copy.
    bool grow(std::size_t needed) {
      std::string& data = m_value.m_data;
      std::size_t capacity = std::max(needed, 2 * data.capacity());
      if (m_length) {
        capacity = std::min<std::size_t>(std::max(capacity, first_capacity),
                                         std::max<std::size_t>(needed, *m_length));
      }
      if (!m_value.m_memory->reserve_body(capacity + data.capacity())) {
        return false;
      }
      std::string larger;
      larger.reserve(capacity);
      larger.append(data);
      data = std::move(larger);
      return m_value.m_memory->reserve_body(data.capacity());
    }

    value_type& m_value;
    boost::optional<std::uint64_t> m_length;
  };
};

} // namespace cardamompond::net
