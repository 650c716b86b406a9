# Plays the case of a folder. Sourced by its run.sh, which exits with 1 if the rule was broken, 0 if it
# held and 2 if the case could not run, also when the player itself fails.
BROKEN_STATUS=10
node "$(dirname "$0")/play.mjs" &
player=$!
trap 'kill -TERM "$player"' TERM INT
wait "$player"
status=$?
if [ "$status" -gt 128 ]; then
  wait "$player"
fi
case "$status" in
  0) exit 0 ;;
  "$BROKEN_STATUS") exit 1 ;;
  *) exit 2 ;;
esac
