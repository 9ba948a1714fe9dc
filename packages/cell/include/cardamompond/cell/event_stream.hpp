#pragma once

#include "cardamompond/core/time.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace cardamompond::cell {

// A numbered batch of events of one epoch. Sequence numbers start at 1 in each epoch.
template <typename T> struct event_batch {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
  std::vector<T> m_events;
};

// Acknowledges all batches of the epoch up to and including this sequence number.
struct batch_acknowledgement {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
};

// Sending side of a reliable event stream. Keeps events until they are acknowledged, in bounded memory.
template <typename T> class event_sender {
public:
  // `capacity` is the maximum number of events held, `batch_size` the maximum number of events in a batch. A
  // batch that is not acknowledged is sent again after `resend_after`.
  event_sender(std::size_t capacity, std::size_t batch_size, duration resend_after)
      : m_capacity(capacity)
      , m_batch_size(batch_size)
      , m_resend_after(resend_after) {}

  // Starts the stream of a new epoch and discards all events. Returns false and changes nothing if the epoch
  // is not higher than the current one.
  bool reset(std::uint64_t epoch) {
    if (epoch <= m_epoch) {
      return false;
    }
    m_epoch = epoch;
    m_next_sequence = 1;
    m_event_count = 0;
    m_unsent.clear();
    m_unacknowledged.clear();
    m_acknowledged_batch_sent_at.reset();
    return true;
  }

  // Adds an event to the stream. Returns false and does not take the event if `capacity` events are held.
  bool push(T event) {
    if (m_event_count == m_capacity) {
      return false;
    }
    ++m_event_count;
    m_unsent.push_back(std::move(event));
    return true;
  }

  // Returns the batches to send now: new ones, and those whose acknowledgement is overdue.
  std::vector<event_batch<T>> collect_due_batches(time_point now) {
    std::vector<event_batch<T>> due;
    for (auto& sent : m_unacknowledged) {
      if (now - sent.m_last_sent >= m_resend_after) {
        sent.m_last_sent = now;
        due.push_back(sent.m_batch);
      }
    }
    while (!m_unsent.empty()) {
      event_batch<T> batch{m_epoch, m_next_sequence++, {}};
      const auto count = static_cast<std::ptrdiff_t>(std::min(m_batch_size, m_unsent.size()));
      batch.m_events.assign(std::make_move_iterator(m_unsent.begin()),
                            std::make_move_iterator(m_unsent.begin() + count));
      m_unsent.erase(m_unsent.begin(), m_unsent.begin() + count);
      m_unacknowledged.push_back({batch, now, now});
      due.push_back(std::move(batch));
    }
    return due;
  }

  // Discards the batches that the receiver has acknowledged. Acknowledgements of other epochs and of batches
  // that were never sent are ignored.
  void acknowledge(const batch_acknowledgement& acknowledgement) {
    if (acknowledgement.m_epoch != m_epoch || acknowledgement.m_sequence >= m_next_sequence) {
      return;
    }
    while (!m_unacknowledged.empty() &&
           m_unacknowledged.front().m_batch.m_sequence <= acknowledgement.m_sequence) {
      m_event_count -= m_unacknowledged.front().m_batch.m_events.size();
      m_acknowledged_batch_sent_at = m_unacknowledged.front().m_first_sent;
      m_unacknowledged.pop_front();
    }
  }

  // Returns when the last acknowledged batch was first sent. The lifetime of a permit that arrives with that
  // acknowledgement is counted from this time.
  std::optional<time_point> acknowledged_batch_sent_at() const { return m_acknowledged_batch_sent_at; }

  std::uint64_t epoch() const { return m_epoch; }

  // Returns the number of events that are not sent yet or not acknowledged.
  std::size_t size() const { return m_event_count; }

private:
  struct sent_batch {
    event_batch<T> m_batch;
    time_point m_first_sent;
    time_point m_last_sent;
  };

  std::size_t m_capacity;
  std::size_t m_batch_size;
  duration m_resend_after;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_next_sequence = 1;
  std::size_t m_event_count = 0;
  std::deque<T> m_unsent;
  std::deque<sent_batch> m_unacknowledged;
  std::optional<time_point> m_acknowledged_batch_sent_at;
};

// Receiving side of a reliable event stream. Delivers each event once and in order. Each incarnation of the
// sender needs a receiver of its own.
template <typename T> class event_receiver {
public:
  // `window` is the maximum number of batches kept that arrived before an earlier one. Further batches are
  // dropped, and the sender sends them again.
  explicit event_receiver(std::size_t window = 16)
      : m_window(window) {}

  // Takes a batch and returns the events that can be delivered now. A batch of an older epoch is dropped; one
  // of a newer epoch starts that epoch's stream.
  std::vector<T> receive(event_batch<T> batch) {
    if (batch.m_epoch < m_epoch || batch.m_sequence == 0) {
      return {};
    }
    if (batch.m_epoch > m_epoch) {
      reset(batch.m_epoch);
    }
    if (batch.m_sequence <= m_last_delivered || batch.m_sequence - m_last_delivered > m_window) {
      return {};
    }
    const auto same = [&](const auto& other) { return other.m_sequence == batch.m_sequence; };
    if (std::none_of(m_out_of_order.begin(), m_out_of_order.end(), same)) {
      m_out_of_order.push_back(std::move(batch));
    }
    std::vector<T> events;
    const auto next = [&](const auto& early) { return early.m_sequence == m_last_delivered + 1; };
    for (auto it = std::find_if(m_out_of_order.begin(), m_out_of_order.end(), next);
         it != m_out_of_order.end(); it = std::find_if(m_out_of_order.begin(), m_out_of_order.end(), next)) {
      std::move(it->m_events.begin(), it->m_events.end(), std::back_inserter(events));
      m_out_of_order.erase(it);
      ++m_last_delivered;
    }
    return events;
  }

  // Starts the stream of a newer epoch. An older or equal epoch changes nothing.
  void reset(std::uint64_t epoch) {
    if (epoch > m_epoch) {
      m_epoch = epoch;
      m_last_delivered = 0;
      m_out_of_order.clear();
    }
  }

  batch_acknowledgement acknowledgement() const { return {m_epoch, m_last_delivered}; }

private:
  std::size_t m_window;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_last_delivered = 0;
  std::vector<event_batch<T>> m_out_of_order;
};

} // namespace cardamompond::cell
