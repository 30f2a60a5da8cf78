# Functions shared by the scripts. They start the demonstration's processes and
# stop only these, by pid.

RUN=run
ZONES="a b c"

# start NAME COMMAND... runs a command in the background and records its pid.
start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  echo $! >"$RUN/$name.pid"
}

# stop NAME sends SIGTERM to a started process and waits up to 60 s for it to
# exit.
stop() {
  local pid
  pid=$(cat "$RUN/$1.pid" 2>/dev/null) || return 0
  kill -TERM "$pid" 2>/dev/null || true
  for _ in $(seq 600); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
  done
  rm -f "$RUN/$1.pid"
}

# await URL requests URL every 0.1 s, up to 150 times, until it succeeds.
await() {
  for _ in $(seq 150); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  echo "no successful answer from $1 after 150 attempts; see the logs in $RUN/" >&2
  return 1
}
