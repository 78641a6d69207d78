Feature: Settings are checked at start

  Scenario: Every error is shown at once
    An operator forgets some settings and mistypes others. All are named with
    flag and variable, and nothing is started.
    When "entry --peer-port 99999 --address vm.example" is run without variables
    Then it ends with exit code 2 and names each of
      | text                                           |
      | --vm (HICKORYLEAD_VM) is required              |
      | --peer-port (HICKORYLEAD_PEER_PORT): 99999     |
      | --address (HICKORYLEAD_ADDRESS): 'vm.example'  |
      | --tokens (HICKORYLEAD_TOKENS) is required      |

  Scenario: Help tells unit, default and variable of each setting
    When "control --help" is run without variables
    Then it ends with exit code 0 and names each of
      | text                         |
      | HICKORYLEAD_HOLD_BROKEN_S    |
      | seconds; default: 30         |
      | required; HICKORYLEAD_ZONE   |

  Scenario: An operator's command without an entry says so
    When "status" is run without variables
    Then it ends with exit code 2 and names each of
      | text                |
      | HICKORYLEAD_ENTRY   |
      | HICKORYLEAD_OPERATOR_TOKEN |

  Scenario: An entry that does not answer has its own exit code
    When "status --entry http://127.0.0.1:9 --token some-token" is run without variables
    Then it ends with exit code 5 and names each of
      | text            |
      | does not answer |

  Scenario: A flag goes before a variable
    Then the flag of an option goes before its variable, and both before the default

  Scenario: A token is never repeated in an error
    Then an error about tokens does not contain the token
