Feature: A disk that fails

  Scenario: A voter whose disk fails acknowledges nothing more
    The disk refuses a write. What the voter holds in memory is not on disk;
    if it went on it could acknowledge a change that its restart takes back.
    It sends nothing more and ends with the exit code of the data folder.
    Given a voter whose disk refuses the next write
    When it is asked for its vote
    Then no vote leaves and the process ends with exit code 6
    And it answers nothing that comes after
