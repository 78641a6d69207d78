Feature: Takeover of a zone whose own coordinator still plans it

  Scenario: A takeover from a partitioned coordinator leaves groups intact
    The other coordinators have the servers' states from before the partition.
    Given three coordinators with 7 servers in each zone
    When messages from a coordinator no longer reach any other coordinator
    And members of two groups in its zone crash one after the other
    Then no server was moved out of a serving group
    And no other coordinator sent orders in its zone more than 3 s after the partition

  Scenario: A reported number of orders is used only with the reported group
    Combined with the previously reported group, the number would let a join
    break up the new group.
    Given a planner with reports of 3 free servers
    When the servers report that another planner joined them to a group
    Then the planner joins none of the servers
    And the planner joins the servers once they report that they left the group

  Scenario: A late heartbeat from before a join does not make its sender free
    The heartbeat arrives after the response to the join.
    Given a planner with reports of 3 free servers
    When the planner joins them, then receives older heartbeats and new reports
    Then the planner joins none of the servers

  Scenario: Random partitions, freezes and server replacements break up no group
    Several coordinators may plan the same zone at once.
    Then takeover schedules 0 to 3 and 28 move no server out of a serving group
