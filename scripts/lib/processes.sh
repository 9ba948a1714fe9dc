# Functions for scripts that start programs of this build and end them by their process ids. A script sets `bin` to the
# folder of the programs before it sources this file. `work_dir` is a temporary folder, which is removed at the end
# unless the script fails.
work_dir=$(mktemp -d)
started_pids=()

# Sends SIGTERM to the started processes, the last one first, and waits for them. A process that is still running after
# 5 s is killed.
end_processes() {
  local index pid
  for ((index = ${#started_pids[@]} - 1; index >= 0; --index)); do
    kill -TERM "${started_pids[index]}" 2>/dev/null || true
  done
  for pid in "${started_pids[@]}"; do
    for _ in $(seq 50); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  started_pids=()
}

cleanup() {
  local code=$?
  trap - EXIT
  end_processes
  if [ "$code" -ne 0 ]; then
    echo "failed with exit code $code; logs of the processes: $work_dir" >&2
  else
    rm -rf "$work_dir"
  fi
  exit "$code"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# start_process NAME COMMAND...: starts the command in the background, with its output in $work_dir/NAME.out and
# $work_dir/NAME.err, and sets $pid.
start_process() {
  local name=$1
  shift
  : >"$work_dir/$name.out" # creates the file, which may be read before the background process opens it
  "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.err" &
  pid=$!
  started_pids+=("$pid")
}

# start_standin NAME PROGRAM ADDRESS ARGUMENTS...: starts a stand-in like start_process, waits up to 5 s until it listens,
# and sets $address to its address.
start_standin() {
  local name=$1 program=$2 listen=$3
  shift 3
  start_process "$name" "$bin/$program" --listen "$listen" "$@"
  for _ in $(seq 100); do
    address=$(sed -n 's/^listening //p' "$work_dir/$name.out")
    [ -n "$address" ] && return 0
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.05
  done
  echo "$name did not start:" >&2
  cat "$work_dir/$name.err" >&2
  return 1
}

# wait_ready NAME PID ADMIN_ADDRESS: waits until the daemon responds with 200 to /readyz. Fails if the process ends, or
# after 300 attempts at intervals of 0.1 s.
wait_ready() {
  for _ in $(seq 300); do
    if curl -fsS -o /dev/null "http://$3/readyz" 2>/dev/null; then return 0; fi
    kill -0 "$2" 2>/dev/null || break
    sleep 0.1
  done
  echo "$1 is not ready:" >&2
  tail -5 "$work_dir/$1.err" >&2
  return 1
}

# free_addresses N: prints N addresses of the loopback interface, 127.0.0.1:PORT, whose ports are not in use now.
free_addresses() {
  python3 - "$1" <<'PY'
import socket, sys
sockets = [socket.socket() for _ in range(int(sys.argv[1]))]
for s in sockets:
    s.bind(("127.0.0.1", 0))
print(*("127.0.0.1:%d" % s.getsockname()[1] for s in sockets))
PY
}
