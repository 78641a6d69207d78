Feature: Settings are validated at start

  Scenario: All errors are reported together
    Some settings are missing and others are invalid. Each is reported with its
    flag and variable, and nothing is started.
    When "entry --peer-port 99999 --address vm.example" is run without environment variables
    Then the exit code is 2 and the output contains each of
      | text                                           |
      | --vm (HICKORYLEAD_VM) is required              |
      | --peer-port (HICKORYLEAD_PEER_PORT): 99999     |
      | --address (HICKORYLEAD_ADDRESS): 'vm.example'  |
      | --tokens (HICKORYLEAD_TOKENS) is required      |

  Scenario: The help text shows unit, default and variable of each setting
    When "control --help" is run without environment variables
    Then the exit code is 0 and the output contains each of
      | text                         |
      | HICKORYLEAD_HOLD_BROKEN_S    |
      | seconds; default: 30         |
      | required; HICKORYLEAD_ZONE   |

  Scenario: An operator's command reports a missing entry URL and token
    When "status" is run without environment variables
    Then the exit code is 2 and the output contains each of
      | text                |
      | HICKORYLEAD_ENTRY   |
      | HICKORYLEAD_OPERATOR_TOKEN |

  Scenario: An operator's command has a separate exit code if the entry does not respond
    When "status --entry http://127.0.0.1:9 --token some-token" is run without environment variables
    Then the exit code is 5 and the output contains each of
      | text            |
      | does not answer |

  Scenario: A flag overrides an environment variable
    Then the flag of an option overrides its variable, and both override the default

  Scenario: An error never contains a token
    Then an error about tokens does not contain the token
