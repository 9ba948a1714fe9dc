#pragma once

#include "cardamompond/core/object_store.hpp"
#include "cardamompond/ctl/command_line.hpp"
#include "cardamompond/net/http_client.hpp"

#include <iosfwd>

namespace cardamompond::ctl {

// The output streams of a verb. Results go to m_out; errors and findings go to m_err, one line each.
struct streams {
  std::ostream& m_out;
  std::ostream& m_err;
};

// Checks the folder. If `store` is not null, checks it together with the published objects of the other
// owner.
exit_code run_check(const command_options& options, object_store* store, const streams& io);

// Lists what publishing the folder would change.
exit_code run_diff(const command_options& options, object_store& store, const streams& io);

// Publishes the folder. If a lost reply leaves the outcome unknown, publishes again with the same change-set
// id, for at most five times the timeout of a call.
exit_code run_publish(const command_options& options, object_store& store, const streams& io);

// Shows published objects.
exit_code run_get(const command_options& options, object_store& store, const streams& io);

// Shows the revision in force in each member, the rollouts and the backend servers.
exit_code run_status(const command_options& options, object_store& store, const streams& io);

// Shows the usage of a period, and its sums for each owner of client accounts and owner of backend servers.
// Usage objects that cannot be decoded are reported and not counted; the exit code is then `findings`.
exit_code run_usage(const command_options& options, object_store& store, const streams& io);

// Shows where the time of late requests went, from the logs of daemons.
exit_code run_lateness(const command_options& options, const streams& io);

// Asks a running daemon where a request would go now, and why.
exit_code run_explain(const command_options& options, net::http_client& client, const streams& io);

// Runs the command. `store` is null only if the command has no platform address.
exit_code run(const command_options& options, object_store* store, net::http_client& client,
              const streams& io);

} // namespace cardamompond::ctl
