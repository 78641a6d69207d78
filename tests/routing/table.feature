Feature: The replica table at an entry

  Scenario: A sign of life that follows a lost change is not that change
    The update that removes a dead replica is lost. The next update has no
    changes, only the number of the lost one. Taken for it, the entry would
    send work to the dead replica for ever; it must ask for the whole table.
    Given a table that knows replicas "a" and "b"
    When the update that removes "a" is lost and a sign of life follows
    Then the whole table is asked for, and after it only "b" is left
