Feature: A refusal that says "not run" is true
  Scenario: Backend servers die and regions lose each other
    Given a mesh of two halves in two regions
    And 10 percent of the answers between nodes get lost
    When the regions lose each other
    And a backend server of catalogue dies
    And callers place orders for 30 seconds
    Then no order that was refused as not run was ever run
