Feature: Acknowledged configurations stay acknowledged

  Scenario: A reply to a former process acknowledges no other change
    A coordinator that starts again numbers its requests anew.
    Given three coordinators with gateways
    When a coordinator that has started again gets the reply to its former process's change
    Then the change that was sent to the new process is not acknowledged

  Scenario: A reply to a former process answers no other read
    Given three coordinators with gateways
    When a coordinator that has started again gets the reply to its former process's read
    Then the read that was sent to the new process is not answered

  Scenario: A coordinator that missed changes under a new leader is not up to date
    Its entries do not continue the new leader's, which gateways would not notice.
    Given six coordinators of which two may be lost
    When one is cut off while another leader accepts version 9
    Then no coordinator that claims to be up to date has an older version for 3 seconds after the cut

  Scenario: Followers of a new leader are not up to date before it has committed
    A new leader may not know yet that the last change was committed.
    Given six coordinators of which two may be lost
    When the leader ends right after it has acknowledged version 9
    Then no follower of the next leader claims to be up to date with an older version

  Scenario: A coordinator that was stopped is not up to date by messages from before
    Given six coordinators of which two may be lost
    When one is stopped for 4 seconds while version 9 is acknowledged
    Then it does not claim to be up to date with an older version once it goes on

  Scenario: A change is known to all coordinators when it is acknowledged
    Gateways would otherwise wait for the next leader if this one ends.
    Given six coordinators of which two may be lost
    When the leader ends right after it has acknowledged version 9
    Then all other coordinators hold version 9 within 0.05 seconds

  Scenario: A disk that is lost while another voter is cut off leaves a majority of disks
    Removing the voter that is cut off before its successor votes would leave 2f voters.
    Given three coordinators with gateways
    When a voter is cut off and another one loses its disk at the first change of voters
    Then version 7 is read within 12 seconds after the cut

  Scenario: Losses that overlap while disks remain lose nothing that was acknowledged
    Random schedules in which more VMs are lost than allowed, but not more disks.
    Then the overlapping loss schedules 0 to 9 keep what was acknowledged

  Scenario: A coordinator with an older disk sends no older content as a newer version
    Gateways would put the older configuration in force again.
    Given three coordinators with gateways
    When a coordinator that holds version 7 gets its disk of version 5 back
    Then what it sends to a gateway that starts has the version that it names

  Scenario: Followers of a leader that cannot commit are not up to date
    It may not know that the last change was committed.
    Given six coordinators of which two may be lost
    When version 9 is acknowledged unknown to the followers and the next leader cannot commit
    Then no coordinator that claims to be up to date has an older version for 0.6 seconds

  Scenario: Followers of a leader that repeats no times are up to date by arrival
    During an upgrade a leader of the build before may lead.
    Given six coordinators of which two may be lost
    When the leader repeats no times of its followers
    Then all coordinators are up to date after 1 second

  Scenario: The next leader removes a missed voter whose successor was added
    A set of 2f + 2 with a voter that is replaced later tolerates one loss too few.
    Given three coordinators with gateways
    When the leader ends after it has added the successor of a voter that returns
    Then there are three voters within 12 seconds

  Scenario: A voter that lost its disk is removed before others are added
    Then the loss schedules 1022 to 1022 leave a majority of the voters
