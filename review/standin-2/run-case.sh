# Sourced by the run.sh of each case: runs the driver of the case with a
# temporary folder for settings and logs. KEEP=1 keeps that folder.
cd "$(dirname "${BASH_SOURCE[1]}")"
number=$(basename "$PWD")
driver=../../target/review-2/case-$number
export CASE_PROGRAM=../../target/carobrilld
if [ ! -x "$driver" ] || [ ! -x "$CASE_PROGRAM" ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
CASE_FOLDER=$(mktemp -d)
export CASE_FOLDER
code=0
timeout --kill-after=2 118 "$driver" record.txt || code=$?
[ "$code" -le 2 ] || code=2
if [ -n "${KEEP:-}" ]; then
  echo "settings and logs: $CASE_FOLDER"
else
  rm -rf "$CASE_FOLDER"
fi
exit "$code"
