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

// Numbered events of one epoch. Sequence numbers of batches start at 1 in each epoch.
template <typename T> struct event_batch {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
  std::vector<T> m_events;
};

// All batches of the epoch up to this sequence number have been received.
struct batch_acknowledgement {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
};

// Sending end of a reliable event stream: keeps events until they are acknowledged, in bounded memory.
template <typename T> class event_sender {
public:
  // `capacity`: events held at most. `batch_size`: events per batch at most. A batch that is not acknowledged
  // is sent again after `resend_after`.
  event_sender(std::size_t capacity, std::size_t batch_size, duration resend_after)
      : m_capacity(capacity)
      , m_batch_size(batch_size)
      , m_resend_after(resend_after) {}

  // Starts the stream of a new epoch and forgets all events. An epoch that is not above the current one
  // changes nothing and returns false.
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

  // Returns false, and takes nothing, if the sender is full.
  bool push(T event) {
    if (m_event_count == m_capacity) {
      return false;
    }
    ++m_event_count;
    m_unsent.push_back(std::move(event));
    return true;
  }

  // Batches to send now: new ones, and those whose acknowledgement is overdue.
  std::vector<event_batch<T>> take_due(time_point now) {
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

  // Acknowledgements of other epochs and of batches that were never sent are ignored.
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

  // When the last acknowledged batch was first sent. The lifetime of a permit that comes with that
  // acknowledgement counts from here.
  std::optional<time_point> acknowledged_batch_sent_at() const { return m_acknowledged_batch_sent_at; }

  std::uint64_t epoch() const { return m_epoch; }

  // Events held: not sent yet or not acknowledged.
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

// Receiving end: delivers each event once and in order. Use one for each incarnation of the sender.
template <typename T> class event_receiver {
public:
  // `window`: batches kept at most that arrived before an earlier one; further ones are dropped and come
  // again.
  explicit event_receiver(std::size_t window = 16)
      : m_window(window) {}

  // Returns the events that can be delivered now. A batch of an older epoch is dropped; one of a newer epoch
  // begins that epoch's stream.
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

  // Begins the stream of a newer epoch; an older or equal one changes nothing.
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
