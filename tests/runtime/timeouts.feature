Feature: Timeouts of connections and responses

  Scenario: A pause of the process is not taken for a server that does not respond
    Otherwise a process that got no processor time treats sound servers as lost.
    When a server responds while the process is paused for 2 seconds
    Then its response arrives within a timeout of 0.5 seconds

  Scenario: A server that does not respond in time after a pause is given up
    When a server does not respond, and the process is paused for 2 seconds
    Then the call ends by its timeout of 0.5 seconds

  Scenario: A probe's response that waits in a socket during late turns arrives
    A coordinator would treat the server as dead at once.
    When every turn of the process takes 0.5 seconds and a server responds at once
    Then the response to a call arrives within a timeout of 0.25 seconds

  Scenario Outline: A silent server is given up in a loop that is always late
    When every turn of the process takes <turn> seconds
    Then a wait with a timeout of <limit> seconds ends within <turns> turns

    Examples:
      | turn | limit | turns |
      | 0.3  | 0.25  | 14    |
      | 0.5  | 0.4   | 14    |
      | 5    | 0.4   | 14    |
      | 5    | 2     | 14    |

  Scenario: A silent server is given up in time when the loop is on time
    When every turn of the process takes 0.01 seconds
    Then a wait with a timeout of 0.25 seconds ends after 0.25 to 0.28 seconds

  Scenario: A call that is cancelled while it connects is not sent later
    When a call is cancelled before its server is connected
    Then the server receives nothing

  Scenario: A limit that begins after a late turn is not extended by it
    When a limit is in force while a turn takes 2 seconds
    Then a later wait with a timeout of 0.25 seconds ends after 0.25 to 0.28 seconds
