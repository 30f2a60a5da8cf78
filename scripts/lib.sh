# Functions shared by the scripts: starting the demonstration's processes and
# ending exactly those, by pid.

RUN=run
ZONES="a b c"

# start NAME COMMAND... runs a command in the background and keeps its pid.
start() {
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  echo $! >"$RUN/$name.pid"
}

# stop NAME ends a started process with SIGTERM and waits for its end.
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

# await URL waits until it answers with success.
await() {
  for _ in $(seq 150); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  echo "no answer from $1; see the logs in $RUN/" >&2
  return 1
}
