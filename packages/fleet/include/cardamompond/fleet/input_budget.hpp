#pragma once

#include "cardamompond/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace cardamompond::fleet {

class input_charge;

// How a holder is ended: with a response that refuses its request, or by closing its connection at once.
enum class eviction { refuse, close };

// A connection that holds memory for its input.
class input_holder {
public:
  input_holder() = default;
  virtual ~input_holder() = default;
  input_holder(const input_holder&) = delete;
  input_holder& operator=(const input_holder&) = delete;

  // Frees what the holder has of its unfinished request, states with input_charge::set_held() what is left,
  // and ends the request or the idle connection. Must not destroy the holder.
  virtual void evict(eviction kind) = 0;

  // Whether bytes of a request have arrived on the idle connection that were not read yet.
  virtual bool has_unread_input() = 0;
};

// Decides who may hold memory for input when many clients send large or slow requests at once: the memory for
// connections and requests of a process stays under a limit. When it is used up, room is made at the expense
// of the unfinished request that holds much for long with little progress. Complete requests, which wait for
// a server or are being answered, keep what they hold.
class input_budget {
public:
  // Holdings up to this size are small. Large ones may take only a share of the limit, so that ordinary
  // requests find room beside them.
  static constexpr std::size_t small_holding = 64U << 10U;

  // Sets the limit in bytes; 0: none. What is held already is not taken back.
  void set_limit(std::size_t bytes) { m_limit = bytes; }
  std::size_t limit() const { return m_limit; }
  std::size_t held() const { return m_held; }

  // Returns the number of unfinished requests and idle connections that were ended to make room.
  std::uint64_t evicted_requests() const { return m_evicted_requests; }
  std::uint64_t evicted_idle() const { return m_evicted_idle; }

  // Returns the number of a new group of holders, e.g. the connections of one server.
  std::size_t add_group() { return m_groups++; }

  // Makes room for a further connection of the group: ends its connection that has been idle for longest, or
  // its unfinished request that stands out most if none is idle. Returns false if all its requests are
  // complete.
  bool make_room_for_connection(std::size_t group, time_point now);

private:
  friend class input_charge;

  // Whether `bytes` more fit, `large_bytes` of them in large holdings.
  bool fits(std::size_t bytes, std::size_t large_bytes) const;

  // `matches` tells which charges are considered.
  template <typename Predicate> input_charge* find_worst(time_point now, const Predicate& matches) const;
  template <typename Predicate> input_charge* find_longest_idle(const Predicate& matches) const;
  bool make_room(input_charge& charge, std::size_t bytes, std::size_t large_bytes, time_point now);
  void evict(input_charge& charge, eviction kind);

  std::size_t m_limit = 0;
  std::size_t m_held = 0;
  std::size_t m_held_by_large = 0;
  std::uint64_t m_evicted_requests = 0;
  std::uint64_t m_evicted_idle = 0;
  std::size_t m_groups = 0;
  std::vector<input_charge*> m_charges;
};

// What one connection holds out of the budget.
class input_charge {
public:
  // The holder is idle at first.
  input_charge(input_budget& budget, input_holder& holder, std::size_t group, time_point now);
  ~input_charge();
  input_charge(const input_charge&) = delete;
  input_charge& operator=(const input_charge&) = delete;

  // States that the first bytes of a request have arrived.
  void begin_request(time_point now);

  // States how much of the request has arrived, or how much of the long response was sent.
  void set_progress(std::uint64_t bytes) { m_progress = bytes; }

  // Asks for memory of that size instead of what is held now. Others may be evicted for it. Returns false if
  // there is no room; what is held stays as it is then.
  bool request(std::size_t bytes, time_point now);

  // States what is held, without asking. For less than before, or for what has been taken already.
  void set_held(std::size_t bytes);

  // States that the request has arrived completely. It is not evicted any more.
  void complete_request() { m_state = state::complete; }

  // States that a long response of that size is being sent, which is held in memory until the client has read
  // it. It is delivered also if there is no room; a client that reads slowly may be evicted.
  void begin_response(std::size_t bytes, time_point now);

  // States that the request has ended and the connection is idle.
  void end_request(time_point now);

  std::size_t held() const { return m_held; }

  // Whether the request was evicted. Nothing more may be held for it then.
  bool evicted() const { return m_evicted; }

private:
  friend class input_budget;

  enum class state { idle, unfinished, complete, responding };

  // How much the request stands out: bytes held times the time in which it got less far than a slow but
  // steady client.
  double excess(time_point now) const;

  input_budget& m_budget;
  input_holder& m_holder;
  std::size_t m_group;
  std::size_t m_held = 0;
  std::uint64_t m_progress = 0;
  time_point m_since; // begin of the request, or of the idle time
  state m_state = state::idle;
  bool m_evicted = false;
  std::size_t m_index = 0; // in input_budget::m_charges
};

} // namespace cardamompond::fleet
