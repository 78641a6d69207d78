Feature: The data folder of a voter

  Scenario: What was synced is read again
    Given a journal with 5 records
    Then opening it again gives the 5 records

  Scenario: A torn record at the end is cut
    The power went while a record was being written. It was never synced, so
    it was never acknowledged, and the others are kept.
    Given a journal with 5 records
    When half a record is written behind them
    Then opening it again gives the 5 records
    And a record added now is read again

  Scenario: Damage before the end is an error, not a loss
    A byte of an acknowledged record has changed. To drop it would take back
    what was promised, so the process does not start and says what to do.
    Given a journal with 5 records
    When a byte of record 2 is changed
    Then opening it fails with exit code 6, naming the place

  Scenario: Damage of the last acknowledged record is an error, too
    The last record is damaged, but the mark behind it shows that it was
    synced. It is not taken for a torn one.
    Given a journal with 5 records
    When a byte of record 4 is changed
    Then opening it fails with exit code 6, naming the place

  Scenario: Every way of cutting the file keeps the records before the cut
    Given a journal with 5 records
    Then cut at any byte it opens with all records before the cut

  Scenario: The data folder of another VM is refused
    A folder was copied or mounted on the wrong VM. Two voters with one name
    could acknowledge two different changes.
    Given a data folder of "buda-hall/vm1/control"
    Then "pest-hall/vm1/control" cannot open it, and is told whose it is

  Scenario: A torn identity is an error
    Given a data folder of "buda-hall/vm1/control"
    When its identity file is cut short
    Then opening it fails with exit code 6, naming the place

  Scenario: A journal that has grown is replaced by what it amounts to
    Given a voter that has persisted 1100 records
    When the journal is replaced
    Then a voter restored from it has the same state

  Scenario: A torn save of a memo leaves the former one
    Given a memo that was saved 3 times
    When its last save is cut at any byte
    Then opening it gives the value of the save before
