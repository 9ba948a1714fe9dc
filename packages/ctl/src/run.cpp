#include "cardamompond/ctl/verbs.hpp"
#include "report.hpp"

namespace cardamompond::ctl {

exit_code run(const command& call, object_store* store, const streams& io) {
  if (call.m_verb == verb::check) {
    return run_check(call, store, io);
  }
  if (store == nullptr) {
    report_message("the platform address is missing", io);
    return exit_code::usage;
  }
  switch (call.m_verb) {
  case verb::check:
    break;
  case verb::diff:
    return run_diff(call, *store, io);
  case verb::publish:
    return run_publish(call, *store, io);
  case verb::status:
    return run_status(call, *store, io);
  case verb::get:
    return run_get(call, *store, io);
  case verb::usage:
    return run_usage(call, *store, io);
  }
  return exit_code::usage;
}

} // namespace cardamompond::ctl
