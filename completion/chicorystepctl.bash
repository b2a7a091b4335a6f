# Bash completion for chicorystepctl. Source this file, or install it as
# /usr/share/bash-completion/completions/chicorystepctl.

_chicorystepctl() {
  local word=${COMP_WORDS[COMP_CWORD]}
  local previous=${COMP_WORDS[COMP_CWORD - 1]}
  local commands="check publish show history rollback request submit job watch cancel state explain"
  local options="--log --entry --admin --author --dry-run --wait --wait-ms --workspace --id
    --deadline-ms --body --body-file --host --path --pieces --accelerators --cores
    --memory-mib --adjacent --command --attach --json --version --help"
  local command="" i
  for ((i = 1; i < COMP_CWORD; ++i)); do
    if [[ " $commands " == *" ${COMP_WORDS[i]} "* ]]; then
      command=${COMP_WORDS[i]}
      break
    fi
  done
  case $previous in
    --body-file) mapfile -t COMPREPLY < <(compgen -f -- "$word") && return ;;
    --adjacent) mapfile -t COMPREPLY < <(compgen -W "none rack worker" -- "$word") && return ;;
    placement) mapfile -t COMPREPLY < <(compgen -f -- "$word") && return ;;
    explain) mapfile -t COMPREPLY < <(compgen -W "job request placement" -- "$word") && return ;;
  esac
  if [[ $word == -* ]]; then
    case $command in
      check) options="--help" ;;
      publish | rollback) options="--log --admin --author --dry-run --wait --wait-ms --help" ;;
      show | history) options="--log --help" ;;
      request) options="--entry --workspace --id --deadline-ms --body --body-file --help" ;;
      submit) options="--entry --workspace --id --pieces --accelerators --cores --memory-mib --adjacent --command --attach --json --help" ;;
      job | watch | cancel) options="--entry --workspace --json --help" ;;
      state) options="--admin --json --help" ;;
      explain) options="--entry --admin --workspace --host --path --json --help" ;;
    esac
    mapfile -t COMPREPLY < <(compgen -W "$options" -- "$word")
  elif [[ $command == check || $command == publish ]]; then
    mapfile -t COMPREPLY < <(compgen -f -- "$word")
  elif [[ -z $command ]]; then
    mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$word")
  fi
}

complete -F _chicorystepctl chicorystepctl
