Feature: Log lines about planned stops

  Scenario: Each refusal and each end in a planned stop is explained from its id
    A response that was cut left no line with an id; a request that waited for
    routes was refused without a line.
    When a gateway with requests in several states is stopped
    Then the lines of each caller's id say how its request ended
      | request                           | event                    | field   | value           |
      | a stream longer than the time     | request_ended            | outcome | broken_stopping |
      | a stream longer than the time     | caller_connection_closed | why     | response_aborted |
      | a body that does not end          | request_refused_unread   | reason  | stopping        |
      | a stream sent while stopping      | request_ended            | outcome | refused_stopping |
    And an unfinished head has a line "connection_refused" with its connection
    And the lines of the process are stopping, drained and stopped
    And each line of the processes has a row in docs/OPERATIONS.md

  Scenario: A request that waits for the first configuration is refused with a line
    When a gateway without a configuration is stopped while a request waits
    Then the lines of each caller's id say how its request ended
      | request                           | event                    | field   | value           |
      | a request without routes          | request_refused_unread   | reason  | stopping        |
