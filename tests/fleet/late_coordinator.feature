Feature: A coordinator whose own turns are late

  Scenario: An order whose effect waits in the queue of a late planner is not sent again
    Given a planner that closes a group with a draining member
    When the planner's next turn is 2 seconds late
    Then the head gets no order again
    When the planner is on time for 0.7 seconds
    Then the head gets the order once more

  Scenario: A server that does not respond gets the same order at growing intervals
    Given a planner that closes a group with a draining member
    When the head leaves each order without a response for 8 seconds
    Then it gets the order again after 0.6, 1.2, 2.4 and 2.4 seconds

  Scenario: A response ends the growing of the intervals
    Given a planner that closes a group with a draining member
    When the head leaves each order without a response for 2 seconds
    And the head refuses an order
    And the head leaves each order without a response for 2.1 seconds
    Then it gets the order again after 0.6 and 1.2 seconds

  Scenario: A group is not disbanded while heartbeats of its members wait in the queue
    Given a planner that has heard only of the head of a group that serves
    When the planner's next turn is 3 seconds late
    Then the head gets no order again

  Scenario: A group with a member that never reports is disbanded when the loop is on time
    Given a planner that has heard only of the head of a group that serves
    When the planner is on time for 2.7 seconds
    Then the head gets the order once more

  Scenario: A replica whose output waits to be reported to a late coordinator is not lost
    Given a head that does not respond to probes and whose output a gateway receives
    When the planner's next turn is 2 seconds late
    Then no server is lost
    When the planner is on time for 0.5 seconds
    Then the head is lost

  Scenario: A dead server is lost within the usual time when the loop is on time
    Given a head whose heartbeats end
    When the planner is on time for 1.6 seconds
    Then the head is probed and lost once the probe gets no response

  Scenario: A member restored from the disk is not lost while its heartbeat waits in the queue
    Given a planner that restored a group from the disk and has heard of its head
    When the planner's next turn is 3 seconds late
    Then the head gets no order again

  Scenario: Orders that are held back while a server is paused do not delay the next one
    Given a planner that closes a group with a draining member
    And the head asks for a pause of 5 seconds
    When the planner is on time for 5 seconds
    Then the head gets no order again
    When the planner is on time for 0.7 seconds
    Then the head gets the order once more
