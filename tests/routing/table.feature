Feature: The replica table of an entry

  Scenario: An update without changes reveals that the previous update was lost
    The update that removes a dead replica is lost. The next update has no
    changes, but the sequence number of the lost update. If the entry accepted
    it as the next update, the entry would send requests to the dead replica for
    ever. Instead, the entry must request the full table.
    Given a table with replicas "a" and "b"
    When the update that removes "a" is lost and an update without changes follows
    Then the full table is requested, and after it only "b" remains
