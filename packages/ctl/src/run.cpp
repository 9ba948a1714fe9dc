#include "cardamompond/ctl/verbs.hpp"
#include "report.hpp"

namespace cardamompond::ctl {

exit_code run(const command_options& options, object_store* store, net::http_client& client,
              const streams& io) {
  if (options.m_verb == verb::check) {
    return run_check(options, store, io);
  }
  if (options.m_verb == verb::lateness) {
    return run_lateness(options, io);
  }
  if (options.m_verb == verb::explain) {
    return run_explain(options, client, io);
  }
  if (store == nullptr) {
    report_message("the platform address is missing", io);
    return exit_code::invalid_arguments;
  }
  switch (options.m_verb) {
  case verb::check:
  case verb::lateness:
  case verb::explain:
    break;
  case verb::diff:
    return run_diff(options, *store, io);
  case verb::publish:
    return run_publish(options, *store, io);
  case verb::status:
    return run_status(options, *store, io);
  case verb::get:
    return run_get(options, *store, io);
  case verb::usage:
    return run_usage(options, *store, io);
  }
  return exit_code::invalid_arguments;
}

} // namespace cardamompond::ctl
