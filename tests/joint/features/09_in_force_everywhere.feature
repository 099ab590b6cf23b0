Feature: An accepted configuration is in force everywhere within seconds
  Scenario: A change is published while updates get lost
    Given a mesh of two halves in two regions
    And updates between nodes cross, repeat and get lost
    When an operator publishes a change
    Then the change is in force on every node within 9 seconds
    And it still is after 60 seconds

  Scenario: The regions lose each other and find each other again
    Given a mesh of two halves in two regions
    When the regions lose each other
    And an operator publishes a change
    And 30 seconds pass
    And the regions find each other again
    Then the change is in force on every node within 9 seconds
