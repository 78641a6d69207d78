Feature: The configuration log

  Scenario: Of two changes based on one version, only one is accepted
    Two operators in two zones submit changes based on the same version at
    once. The log orders them: the first is accepted, and the second is refused
    with the winning version, because the version that it expects is outdated.
    Given a deployment in three zones
    When two operators in two zones submit changes based on the same version
    Then one change is accepted and the other refused with the winning version

  Scenario: A change sent again to a new leader gets its first outcome
    A change is accepted, the response is lost and the leader is killed. The
    resend reaches the next leader. It must neither take effect twice nor be
    refused as a conflict with itself, so the log contains the change ids.
    Given a deployment in three zones
    When a change is accepted and its leader is killed
    And the same change is sent again through another zone
    Then the resend gets the first outcome and the version is unchanged

  Scenario: A zone whose only voter was killed finds the next leader
    The leader, the only voter of its zone, is killed. The zone's other control
    processes must find the new leader, or changes submitted in this zone are
    refused while other zones accept them.
    Given a deployment in three zones
    When the leader is killed
    Then a change submitted in the leader's zone is accepted within 20 s

  Scenario: A zone without a majority refuses changes at once
    A zone is isolated, so no process there has a leader with a majority. A
    change submitted there must be refused as not applied, with a retry delay.
    It must not take effect later.
    Given a deployment in three zones
    When zone "buda-hall" is isolated
    And 5 s pass
    And an operator in "buda-hall" submits a change
    Then the change is refused within 6 s as certainly not applied
    When all partitions are healed
    And 20 s pass
    Then the refused change is in force nowhere

  Scenario: A leader that is partitioned without an error steps down
    The leader loses all connections without an error and keeps its role. It
    must step down before another one can be elected; two leaders could accept
    two different configurations under one version number.
    Given a deployment in three zones
    When the leader is partitioned from all others
    Then no two processes lead at once, and a new leader leads within 10 s
    And a change submitted to the majority side is in force there within 8 s

  Scenario: A voter that was partitioned for long does not depose the leader
    A voter is partitioned for a minute and keeps starting elections. Its trial
    votes raise no term, so the leader stays when the partition heals.
    Given a deployment in three zones
    When a voter that is not the leader is partitioned for 60 s
    Then the leader and its term are as before

  Scenario: A voter that lost its disk returns as a new member
    A voter loses its disk and restarts empty. If it voted as the old member,
    it could revoke what that member acknowledged. The old member is removed,
    the voter joins as a new member; after that the next voter may lose its
    disk.
    Given a deployment in three zones
    When each voter loses its disk, one after another
    Then every accepted change is still in force

  Scenario: No change is lost if one of three voters keeps its disk
    Two voters lose their disks at once. The third voter has all changes, but
    no majority, so it must not lead: it cannot determine what is committed.
    Given a deployment in three zones
    When two voters lose their disks at the same time
    And 15 s pass
    Then no process leads and the version in force is as before
    And the entries continue to serve requests

  Scenario: A voter that is more than 500 changes behind gets a single snapshot
    A voter is stopped while 600 changes are accepted. After its start it gets
    one snapshot instead of the entries that the others have dropped in the
    meantime.
    Given a deployment in three zones
    When a voter is stopped during 600 changes
    Then the voter has all changes within 5 s of its start, from one snapshot

  Scenario: A change is in force everywhere within 8 s
    A change is accepted while one message in ten is lost. Every connected
    process must apply it within 8 s, and none may return to an older version.
    Given a deployment in three zones
    When one message in ten is lost
    And a change is accepted
    Then all processes apply the change within 8 s

  Scenario: A restarted entry never serves an older version
    The control processes of an isolated zone hold different versions. An
    entry, which has no disk, restarts. It must receive updates from a majority
    of them before it is ready, or it could serve an older version than before.
    Given a deployment in three zones
    When two control processes of "buda-hall" get a change before its isolation
    And an entry of "buda-hall" restarts
    Then the entry is not ready before it has the version that was in force

  Scenario: Acknowledged changes survive the restart of all voters
    All processes of all zones end at once, as in a power failure, right after
    a change was accepted. A majority synced the change before that.
    Given a deployment in three zones
    When a change is accepted and every process restarts at once
    Then the change is in force everywhere within 15 s
