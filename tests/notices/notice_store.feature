Feature: How long a gateway expects further refusals after a refusal

  Scenario Outline: Each further refusal without a retry time doubles the back-off
    Given a server that refuses <count> requests in a row without naming a retry time
    Then the server is likely to refuse for <duration> seconds after its last refusal

    Examples:
      | count | duration |
      | 1     | 0.5      |
      | 2     | 1        |
      | 3     | 2        |
      | 4     | 4        |
      | 1000  | 4        |

  Scenario: Several refusals of requests that were sent together count as one refusal
    Given a server that refuses 5 requests that were sent together
    Then the server is likely to refuse for 0.5 seconds after its last refusal

  Scenario: A response to a request sent after the refusals ends the back-off
    Given a server that refuses 3 requests in a row without naming a retry time
    When it responds to a request that was sent after the refusals
    Then the server is not likely to refuse
    And after a further refusal the server is likely to refuse for 0.5 seconds

  Scenario: A delayed report of a refusal does not restart an ended back-off
    Given a server that refuses 3 requests in a row without naming a retry time
    When it responds to a request that was sent after the refusals
    And another node reports the server's last refusal
    Then the server is not likely to refuse

  Scenario: A response ends the back-off that another gateway reported
    Given a server that refused requests of another gateway without naming a retry time
    When it responds to a request that was sent 0.1 seconds after the report
    Then the server is not likely to refuse

  Scenario: The response to a request sent before the report does not end the back-off
    Given a server that refused requests of another gateway without naming a retry time
    When it responds to a request that was sent -0.1 seconds after the report
    Then the server is likely to refuse for 3.8 seconds after its response

  Scenario: The response to a request sent before the latest report does not end the back-off
    Given a server that refused requests of another gateway without naming a retry time
    And another refusal of the server is reported 0.15 seconds later
    When it responds to a request that was sent 0.1 seconds after the report
    Then the server is likely to refuse for 3.8 seconds after its response

  Scenario: A response ends the back-off but not a pause that the server named
    Given a server that refused requests of another gateway without naming a retry time
    And that server then requested a pause of 3 seconds from the other gateway
    When it responds to a request that was sent 0.1 seconds after the report
    Then the server is likely to refuse for 2.8 seconds after its response

  Scenario: The response to a request sent before the refusals does not end the back-off
    A full server continues to respond to the requests that it already runs.
    Given a server that refuses 3 requests in a row without naming a retry time
    When it responds to a request that was sent before the refusals
    Then the server is likely to refuse for 2 seconds after its last refusal

  Scenario: The response to a request sent during a named pause does not end probation
    Given a server that requested a pause of 3 seconds from another gateway
    When it responds to a request that was sent before the end of the pause
    Then the server is likely to refuse after the pause if no retry is left

  Scenario: The response to a request sent after a named pause ends probation
    Given a server that requested a pause of 3 seconds from another gateway
    When it responds to a request that was sent after the end of the pause
    Then the server is not likely to refuse

  Scenario: A refusal with a pause of 0 s counts as a refusal without a retry time
    Given a server that refuses a request with a pause of 0 seconds
    Then the server is likely to refuse for 0.5 seconds after its last refusal
