Feature: The coordination parts as a library

  Scenario: The example of the documentation runs
    Then the example of docs/how-to/embed.md is examples/embed.py, has at most 30 lines, and runs

  Scenario: The reducers need none of the daemons' dependencies
    A program embeds the reducers where only attrs and returns are installed.
    Then the reducers import without any other library
