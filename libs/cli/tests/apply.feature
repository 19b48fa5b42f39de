Feature: Applying a configuration

  Scenario: Two operators race each other
    Given revision 1 is in force and two operators have seen it
    When the first applies version "v7" and the second applies version "v8"
    Then the first is told that revision 2 is in force
    And the second exits with code 3 and sees "v7" beside "v8"
    And version "v7" is in force as revision 2

  Scenario: The loser merges and applies again
    Given revision 1 is in force and two operators have seen it
    When the first applies version "v7" and the second applies version "v8"
    And the second applies version "v8" to revision 2
    Then version "v8" is in force as revision 3

  Scenario: The answer is lost after the change took effect
    Given revision 1 is in force and two operators have seen it
    And the answer to the next change is lost
    When the first applies version "v7" and the second applies version "v8"
    Then the first is told that revision 2 is in force
    And version "v7" is in force as revision 2
