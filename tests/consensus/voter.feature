Feature: The configuration log

  Scenario: Of two changes made from one version, one wins
    Two operators in two zones switch presets from the same version at once.
    One is told that it is in force, the other one which version won, because
    the log orders them and the second no longer fits the version it names.
    Given a deployment in three zones
    When two operators in two zones change the configuration from one version
    Then one change is accepted and the other is told the winning version

  Scenario: A resend to a new leader gets the first answer
    An operator's change is accepted, the answer is lost, and the leader dies.
    The resend reaches the next leader. It must not take effect twice nor lose
    against itself, so change ids are remembered in the log itself.
    Given a deployment in three zones
    When a change is accepted and its leader is killed
    And the same change is sent again through another zone
    Then the resend gets the first answer and the version is the same

  Scenario: A zone whose only voter died finds the next leader
    The leader dies, and it was the only voter of its zone. The other control
    processes there ask around until they find who leads now, or changes of
    this zone's operators would be refused while others' are accepted.
    Given a deployment in three zones
    When the leader is killed
    Then a change through its zone is accepted within 20 s

  Scenario: A zone without a majority refuses changes at once
    A zone is cut off. Its operator's change is refused as not applied, with a
    time to come back, and never takes effect later, because no process there
    knows a leader with a majority.
    Given a deployment in three zones
    When zone "buda-hall" is cut off
    And 5 s pass
    And an operator in "buda-hall" submits a change
    Then the change is refused within 6 s as certainly not applied
    When all cuts are mended
    And 20 s pass
    Then the refused change is in force nowhere

  Scenario: A leader that is cut off silently stops leading
    The leader's wires go dead without any error, and it still believes that
    it leads. It steps down before another one can be elected; two leaders
    would give operators two different versions under one number.
    Given a deployment in three zones
    When the leader is cut off from all others
    Then never two processes lead, and a new one leads within 10 s
    And a change submitted to the new side is in force within 8 s everywhere else

  Scenario: A voter cut off for long does not depose the leader
    A voter is cut off for a minute and tries to be elected all the time. When
    it returns, the leader stays: its trial votes raised nobody's term.
    Given a deployment in three zones
    When a voter that does not lead is cut off for 60 s
    Then the leader and its term are as before

  Scenario: A voter that lost its disk comes back as a new member
    A voter loses its disk, and comes back empty. Voting under its old name it
    could take back what it acknowledged. It is removed and joins anew,
    after which the next one may lose its disk, too.
    Given a deployment in three zones
    When each voter loses its disk, one after another
    Then every accepted change is still in force

  Scenario: Disks lost in a majority lose nothing while one voter remains
    Two voters lose their disks at once. The remaining one has all changes but
    no majority, so changes are refused; to accept them would be to guess.
    Given a deployment in three zones
    When two voters lose their disks at the same time
    And 15 s pass
    Then no process leads and the version in force is as before
    And the entries go on serving

  Scenario: A process 500 changes behind gets one snapshot
    A voter is away while 600 changes are accepted. It gets one snapshot in
    place of the entries that the others have dropped meanwhile.
    Given a deployment in three zones
    When a voter is away for 600 changes
    Then it has them all within 5 s of its return, by one snapshot

  Scenario: A change is in force everywhere within 8 s
    A change is accepted while one message in ten is lost. Every connected
    process must follow it within 8 s, and none ever goes back.
    Given a deployment in three zones
    When one message in ten is lost
    And a change is accepted
    Then all processes follow it within 8 s

  Scenario: A restarted entry never serves an older version
    A zone's control processes hold different versions while the zone is cut
    off. An entry restarts without a disk. It must hear a majority of them
    before it is ready, so that it cannot go back behind what it served.
    Given a deployment in three zones
    When a change reaches two control processes of "buda-hall" before the cut
    And an entry of "buda-hall" restarts
    Then it is not ready below the version that was in force

  Scenario: Acknowledged changes survive the restart of all voters
    All processes of all zones end at once, as in a loss of power, right after
    a change was accepted. What was accepted was synced by a majority first.
    Given a deployment in three zones
    When a change is accepted and every process restarts at once
    Then the change is in force everywhere within 15 s
