#pragma once

#include <utility>
#include <variant>

namespace cardamompond {

// The value of a successful operation that has nothing to return.
struct success {};

// Either the value of an operation or the error that prevented it. Functions on the hot path return it
// instead of throwing. value() may be called only if has_value() is true, error() only if it is false.
template <typename T, typename E> class [[nodiscard]] result {
public:
  // The constructors are implicit, so that functions can return a value or an error directly.
  result(T value)
      : m_state(std::in_place_index<0>, std::move(value)) {}
  result(E error)
      : m_state(std::in_place_index<1>, std::move(error)) {}

  bool has_value() const noexcept { return m_state.index() == 0; }
  explicit operator bool() const noexcept { return has_value(); }

  T& value() & { return std::get<0>(m_state); }
  const T& value() const& { return std::get<0>(m_state); }
  T&& value() && { return std::get<0>(std::move(m_state)); }
  E& error() & { return std::get<1>(m_state); }
  const E& error() const& { return std::get<1>(m_state); }

  T& operator*() & { return value(); }
  const T& operator*() const& { return value(); }
  T* operator->() { return &value(); }
  const T* operator->() const { return &value(); }

private:
  std::variant<T, E> m_state;
};

} // namespace cardamompond
