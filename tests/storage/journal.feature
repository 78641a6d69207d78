Feature: The data folder of a voter

  Scenario: Synced records are restored
    Given a journal with 5 records
    Then opening the journal again gives the 5 records

  Scenario: A torn record at the end is truncated
    A power loss interrupted the write of a record. It was never synced, so it
    was never acknowledged; the records before it are kept.
    Given a journal with 5 records
    When half a record is written behind the records
    Then opening the journal again gives the 5 records
    And a record added now is restored as well

  Scenario: Damage before the end is an error
    A byte of an acknowledged record has changed. Dropping it would lose an
    acknowledged change, so the process does not start and reports what to do.
    Given a journal with 5 records
    When a byte of record 2 is changed
    Then opening it fails with exit code 6, naming the place

  Scenario: Damage of the last acknowledged record is an error
    The last record is damaged, but the mark behind it shows that it was
    synced. It is not treated as a torn record.
    Given a journal with 5 records
    When a byte of record 4 is changed
    Then opening it fails with exit code 6, naming the place

  Scenario: Truncating the file at any byte keeps the records before it
    Given a journal with 5 records
    Then the journal truncated at any byte opens with all complete records

  Scenario: The data folder of another VM is refused
    A folder was copied to or mounted on the wrong VM. Two voters with one name
    could acknowledge two different changes.
    Given a data folder of "buda-hall/vm1/control"
    Then "pest-hall/vm1/control" cannot open the folder, and the error names its owner

  Scenario: A torn identity file is an error
    Given a data folder of "buda-hall/vm1/control"
    When its identity file is truncated
    Then opening it fails with exit code 6, naming the place

  Scenario: A large journal is replaced by a snapshot
    Given a voter that has persisted 1100 records
    When the journal is replaced
    Then a voter restored from the journal has the same state

  Scenario: The previous value is kept when the save of a new value is torn
    Given a value that was saved 3 times
    When the last save of the value is truncated at any byte
    Then opening the value's files gives the previous save

  Scenario: A journal of a few large records is replaced by a snapshot
    Large configurations once filled the disk before 1024 records were written.
    Given a voter that has persisted 12 records of 2 MB
    Then its journal stays below 40 MB

  Scenario: A power loss at any step keeps what was acknowledged
    Each write since the last sync is kept, torn or lost, and so is each name.
    When the power fails at any step of saves, a compaction and a start
    Then the data folder opens with all that was acknowledged
