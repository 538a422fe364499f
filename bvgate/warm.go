package bvgate

const warmBonus = 30
