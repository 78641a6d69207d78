Feature: The replica table of an entry

  Scenario: An update without changes does not stand in for a lost change
    The update that removes a dead replica is lost. The next update has no
    changes, but the sequence number of the lost one. If the entry accepted it,
    it would send requests to the dead replica for ever. It must request the
    full table.
    Given a table with replicas "a" and "b"
    When the update that removes "a" is lost and one without changes follows
    Then the full table is requested, and after it only "b" remains
