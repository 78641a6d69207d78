Feature: How long a gateway expects further refusals after a refusal

  Scenario Outline: Each further refusal without a retry time doubles the back-off
    Given a server that refuses <count> requests in a row without naming a retry time
    Then it is likely to refuse for <duration> seconds after the last refusal

    Examples:
      | count | duration |
      | 1     | 0.5      |
      | 2     | 1        |
      | 3     | 2        |
      | 4     | 4        |
      | 1000  | 4        |

  Scenario: Refusals of requests that were sent together count once
    Given a server that refuses 5 requests that were sent together
    Then it is likely to refuse for 0.5 seconds after the last refusal

  Scenario: A response to a request that was sent later ends the back-off
    Given a server that refuses 3 requests in a row without naming a retry time
    When it responds to a request that was sent after that
    Then it is not likely to refuse
    And after a further refusal it is likely to refuse for 0.5 seconds

  Scenario: A delayed report of a refusal does not restart an ended back-off
    Given a server that refuses 3 requests in a row without naming a retry time
    When it responds to a request that was sent after that
    And another node reports its last refusal
    Then it is not likely to refuse

  Scenario: A response ends a back-off that another gateway reported
    Given a server that refused requests of another gateway without naming a retry time
    When it responds to a request that was sent 0.1 seconds after the report
    Then it is not likely to refuse

  Scenario: A response to a request sent before the report ends no back-off
    Given a server that refused requests of another gateway without naming a retry time
    When it responds to a request that was sent -0.1 seconds after the report
    Then it is likely to refuse for 3.8 seconds after the response

  Scenario: A response to a request sent before the latest report ends no back-off
    Given a server that refused requests of another gateway without naming a retry time
    And another refusal is reported 0.15 seconds later
    When it responds to a request that was sent 0.1 seconds after the report
    Then it is likely to refuse for 3.8 seconds after the response

  Scenario: A response ends an estimated pause but not one that the server named
    Given a server that refused requests of another gateway without naming a retry time
    And that server then requested a pause of 3 seconds from the other gateway
    When it responds to a request that was sent 0.1 seconds after the report
    Then it is likely to refuse for 2.8 seconds after the response

  Scenario: A response to a request sent before the refusals ends no back-off
    A full server continues to respond to the requests that it already runs.
    Given a server that refuses 3 requests in a row without naming a retry time
    When it responds to a request that was sent before that
    Then it is likely to refuse for 2 seconds after the last refusal

  Scenario: A response to a request sent in a named pause does not end probation
    Given a server that requested a pause of 3 seconds from another gateway
    When it responds to a request that was sent before the end of that pause
    Then it is likely to refuse after that pause if no retry is left

  Scenario: A response to a request sent after a named pause ends probation
    Given a server that requested a pause of 3 seconds from another gateway
    When it responds to a request that was sent after the end of that pause
    Then it is not likely to refuse

  Scenario: A refusal with a pause of 0 s counts like one without a retry time
    Given a server that refuses a request with a pause of 0 seconds
    Then it is likely to refuse for 0.5 seconds after the last refusal
