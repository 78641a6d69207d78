Feature: Planned stops of real gateways lose no requests

  Scenario: A short seeded run of planned stops loses no request
    Six processes, twelve backend servers and 26 callers on one machine; nothing
    is disturbed but planned work.
    Then seed 5 of the planned stops loses no request in 6 s

  Scenario Outline: The checker notices what a planned stop must not do
    Given a gateway with a grace time of 8 s that got SIGTERM at 100 s
    When a request was sent at <sent> s, <run> and ended at <end> s <how>
    Then the checker reports <what>

    Examples:
      | sent  | run                 | end   | how               | what       |
      | 99.0  | ran until 102.0     | 102.0 | without an answer | a loss     |
      | 99.0  | ran until 102.0     | 102.0 | with half of one  | a loss     |
      | 102.9 | ran until 107.0     | 107.0 | with half of one  | nothing    |
      | 103.1 | ran until 107.0     | 107.0 | with half of one  | a loss     |
      | 102.9 | ran until 106.6     | 106.6 | with half of one  | a loss     |
      | 99.0  | was not passed on   | 99.3  | without an answer | a loss     |
      | 99.0  | was not passed on   | 99.1  | without an answer | nothing    |
      | 99.0  | ran until 99.1      | 99.1  | without an answer | a loss     |
      | 99.0  | ran until 107.0     | 107.0 | without an answer | nothing    |
      | 98.9  | broke off at 101.0  | 101.0 | with half of one  | nothing    |
      | 99.0  | ran until 102.0     | 102.0 | with an answer    | nothing    |
      | 101.0 | was not passed on   | 101.1 | with status 503   | nothing    |
      | 101.0 | ran until 101.1     | 101.1 | with status 503   | a refusal  |
      | 101.0 | was not passed on   | 101.1 | with status 500   | a refusal  |

  Scenario Outline: The checker judges a request only away from unplanned faults
    Given a gateway with a grace time of 8 s that got SIGTERM at 100 s
    When a request lasts from 101 to 102 s and a fault from <from> to <to> s
    Then the soak judges <count> requests

    Examples:
      | from | to    | count |
      | 90   | 97.5  | 1     |
      | 90   | 98.5  | 0     |
      | 101  | 101.1 | 0     |
      | 103  | 104   | 1     |

  Scenario Outline: The checker excuses a request behind a cut response only
    Given a gateway with a grace time of 8 s that got SIGTERM at 100 s
    When a request is closed at <end> s behind one that ran until <end> s
    Then the soak finds <count> lost requests

    Examples:
      | end   | count |
      | 107.0 | 0     |
      | 106.0 | 2     |
