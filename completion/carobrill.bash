# Bash completion of carobrill. tests/cli compares it with the command table.
_carobrill() {
  local commands="submit status cancel queue jobs request rules accounts
    workers endpoints instances audit drain undrain explain settings"
  # Subcommands: rules check, rules diff, rules publish, rules show,
  # rules history, settings check, settings list.
  local rules="check diff publish show history"
  local settings="check list"
  local global="--entry --json --timeout-ms --version --help"
  local work="--account --class --kind --expected-run-ms --idempotent
    --deadline-ms --payload --payload-file --key"
  local current="${COMP_WORDS[COMP_CWORD]}"
  local previous="${COMP_WORDS[COMP_CWORD-1]}"
  local command="" second="" i
  for ((i = 1; i < COMP_CWORD; i++)); do
    case "${COMP_WORDS[i]}" in
      -e|--entry|--timeout-ms) ((i++)) ;;
      -*) ;;
      *)
        if [[ -z "$command" ]]; then
          command="${COMP_WORDS[i]}"
        elif [[ -z "$second" ]]; then
          second="${COMP_WORDS[i]}"
        fi
        ;;
    esac
  done

  case "$previous" in
    --class)
      COMPREPLY=($(compgen -W "urgent normal batch" -- "$current"))
      return ;;
    --adjacent)
      COMPREPLY=($(compgen -W "none worker rack failure_domain" -- "$current"))
      return ;;
    --preemption)
      COMPREPLY=($(compgen -W "never stop checkpoint" -- "$current"))
      return ;;
    --state)
      COMPREPLY=($(compgen -W "queued placed starting running stopping
        succeeded failed cancelled outcome_unknown" -- "$current"))
      return ;;
    --file|--payload-file)
      COMPREPLY=($(compgen -f -- "$current"))
      return ;;
  esac

  local words="$global"
  case "$command" in
    "") words+=" $commands" ;;
    submit)
      words+=" $work --file --members --accelerators --cores --memory-mb
        --adjacent --preemption --wait --wait-limit-s" ;;
    request) words+=" $work --hold-during-outage" ;;
    queue) words+=" --account --class --limit" ;;
    jobs) words+=" --account --class --state --limit" ;;
    accounts|workers|endpoints|instances|audit) words+=" --limit" ;;
    drain|undrain) words+=" --reason" ;;
    explain) words+=" --file" ;;
    rules)
      case "$second" in
        "") words+=" $rules" ;;
        publish) words+=" --author --base" ;;
        history) words+=" --limit" ;;
      esac ;;
    settings)
      [[ -z "$second" ]] && words+=" $settings" ;;
  esac
  COMPREPLY=($(compgen -W "$words" -- "$current"))
  if [[ "$second" =~ ^(check|diff|publish)$ && "$current" != -* ]]; then
    COMPREPLY+=($(compgen -f -- "$current"))
  fi
}
complete -F _carobrill carobrill
