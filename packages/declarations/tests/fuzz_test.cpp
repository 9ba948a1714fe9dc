#include "cardamompond/core/time.hpp"
#include "cardamompond/declarations/codec.hpp"
#include "cardamompond/declarations/folder.hpp"
#include "cardamompond/declarations/status_record.hpp"
#include "cardamompond/declarations/validation.hpp"

#include "declarations_builder.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>

#include <rapidcheck.h>

using namespace cardamompond;
using namespace cardamompond::declarations;

namespace {

// The texts are about 1 KB long; reading one takes well under 1 ms.
constexpr milliseconds max_read_time(500);

// Text that often reveals faults in TOML and JSON parsers.
const std::vector<std::string> fragments = {"[",
                                            "]",
                                            "[[",
                                            "{",
                                            "}",
                                            "\"",
                                            "'''",
                                            "=",
                                            ".",
                                            ",",
                                            "\\",
                                            "\\u0000",
                                            "\xff\xfe",
                                            "\n",
                                            std::string(1, '\0'),
                                            "1e999",
                                            "-9223372036854775809",
                                            "18446744073709551616",
                                            "nan",
                                            "null",
                                            "true",
                                            "2026-13-40T99:00:00Z",
                                            "name = \"x\"\n",
                                            "\"name\":1,",
                                            std::string(300, '['),
                                            std::string(300, '{')};

const std::vector<std::string> replacement_numbers = {
    "-1", "0", "0.5", "4294967296", "18446744073709551615", "1e999", "99999999999999999999", "true"};

// Replaces the first number at or after a position by a random one of `replacement_numbers`.
void replace_number(std::string& text, std::size_t at) {
  if (const auto begin = text.find_first_of("0123456789", at); begin != std::string::npos) {
    const auto end = std::min(text.find_first_not_of("0123456789", begin), text.size());
    text.replace(begin, end - begin, *rc::gen::elementOf(replacement_numbers));
  }
}

// Applies one to four random mutations: erasing, repeating, replacing or inserting text, or resizing it.
std::string mutate(std::string text) {
  const auto mutations = *rc::gen::inRange(1, 5);
  for (int i = 0; i < mutations; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
    const auto length = *rc::gen::inRange<std::size_t>(0, 40);
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
      text.erase(at, length);
      break;
    case 1:
      text.insert(at, text.substr(at, length));
      break;
    case 2:
      if (at < text.size()) {
        text[at] = *rc::gen::arbitrary<char>();
      }
      break;
    case 3:
      text.insert(at, *rc::gen::elementOf(fragments));
      break;
    case 4:
      text.resize(std::max<std::size_t>(at, 1), ' ');
      break;
    default:
      replace_number(text, at);
      break;
    }
  }
  return text;
}

constexpr int mutated_texts_per_case = 10;

// Calls `read` with mutated copies of a text and checks that each call returns within the time limit.
template <typename Read> void read_mutated_texts(const std::string& text, Read read) {
  for (int i = 0; i < mutated_texts_per_case; ++i) {
    const auto mutated_text = mutate(text);
    const auto start = monotonic_now();
    read(mutated_text);
    RC_ASSERT(monotonic_now() - start < max_read_time);
  }
}

object_set valid_objects() {
  const source_text file{"a.toml", std::string(valid_declarations)};
  return read_texts(std::span(&file, 1)).m_objects;
}

configuration_head valid_head() {
  configuration_head head{2, "b", 1, {"config/base/00"}, {}, {{"a", 1}, {"b", 2}}};
  head.m_deltas.push_back({2, "b", "a", "o1", diff({}, valid_objects())});
  return head;
}

// Returns a function that decodes a text. If the decoder accepts the text, encoding the value and decoding it
// again must give the same encoding.
template <typename Decode> auto check_round_trip(Decode decode) {
  return [decode](const std::string& text) {
    if (const auto first = decode(text)) {
      const auto second = decode(encode(*first));
      RC_ASSERT(static_cast<bool>(second));
      RC_ASSERT(encode(*second) == encode(*first));
    }
  };
}

} // namespace

TEST_GROUP(fuzz){};

// Guards against crashes and long run times of the TOML reader on malformed declarations, and against
// accepting them: a set that is read without findings must be unchanged after encoding and decoding.
TEST(fuzz, mutated_declarations_are_read_or_refused) {
  CHECK(rc::check("mutated declarations are read or refused", [] {
    read_mutated_texts(std::string(valid_declarations), [](const std::string& text) {
      const source_text file{"a.toml", text};
      const auto parsed = read_texts(std::span(&file, 1));
      const auto findings = validate(parsed.m_objects, parsed.m_sources);
      for (const auto& found : findings) {
        RC_ASSERT(!found.m_remedy.empty());
      }
      if (parsed.m_findings.empty()) {
        const auto decoded = decode_object_set(encode(parsed.m_objects));
        RC_ASSERT(static_cast<bool>(decoded));
        RC_ASSERT(*decoded == parsed.m_objects);
      }
    });
  }));
}

// Guards against a stack overflow in a parser that does not limit the nesting depth.
TEST(fuzz, deep_nesting_gives_a_finding) {
  std::string key;
  for (int i = 0; i < 200'000; ++i) {
    key += "a.";
  }
  for (const auto& text : {key + "b = 1\n", "[" + key + "b]\n", "x = {" + key + "b = 1}\n",
                           "x = " + std::string(200'000, '['), "x = " + std::string(200'000, '{')}) {
    const source_text file{"a.toml", text};
    LONGS_EQUAL(1, read_texts(std::span(&file, 1)).m_findings.size());
  }
  CHECK_FALSE(static_cast<bool>(decode_head(std::string(200'000, '['))));
}

// Guards against crashes and long run times of the decoders for messages from the platform and from peers,
// and against values that change when they are encoded and decoded again.
TEST(fuzz, mutated_encodings_are_decoded_or_refused) {
  status_record status{"main", 7, {{"d1", 2, 3, true}}, {}, {}};
  status.m_rollouts.push_back({"s", "s-v2", scheduler::rollout_state::in_progress, 5, "r"});
  status.m_backend_servers.push_back({"b1", true, true, 1, 1});
  const std::string objects = encode(valid_objects());
  const std::string change = encode(valid_head().m_deltas.front());
  const std::string value = encode(snapshot{2, "b", valid_objects()});
  const std::string head = encode(valid_head());
  const std::string updates[] = {encode_update(valid_head().m_deltas), encode_update(snapshot{2, "b", {}})};
  const std::string record = encode(status);
  CHECK(static_cast<bool>(decode_head(head)) && static_cast<bool>(decode_status(record)));
  CHECK(rc::check("mutated encodings are decoded or refused", [&] {
    read_mutated_texts(objects, check_round_trip(decode_object_set));
    read_mutated_texts(change, check_round_trip(decode_change_set));
    read_mutated_texts(value, check_round_trip(decode_snapshot));
    read_mutated_texts(head, check_round_trip(decode_head));
    read_mutated_texts(record, check_round_trip(decode_status));
    for (const auto& update : updates) {
      read_mutated_texts(update, [](const std::string& text) { static_cast<void>(decode_update(text)); });
    }
  }));
}
