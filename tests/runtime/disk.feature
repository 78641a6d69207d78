Feature: A process that cannot go on ends

  Scenario: A voter whose disk fails acknowledges nothing more
    The disk refuses a write. What the voter holds in memory is not on disk;
    if it went on it could acknowledge a change that its restart takes back.
    It sends nothing more and ends with the exit code of the data folder.
    Given a voter whose disk refuses the next write
    When it is asked for its vote
    Then no vote leaves and the process ends with exit code 6
    And it answers nothing that comes after

  Scenario: A process whose clock has stopped ends
    The task that gives a process its time fails. The process would still
    answer, but renew nothing and time out nothing; it ends with the error,
    so that others notice.
    Given a voter whose disk refuses the next write
    When its reducer fails on the next tick
    Then the process ends with that failure
